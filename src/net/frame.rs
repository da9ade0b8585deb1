//! Framing: a length (`u32`, little endian), a version byte and a message encoded by postcard.

use postcard::ser_flavors::Flavor;
use quick_error::quick_error;

use crate::wire::Message;

/// Maximum size of a frame in bytes, without its length prefix.
pub const FRAME_LIMIT: usize = 4 << 20;

/// Size of the length prefix.
pub(super) const PREFIX_BYTES: usize = 4;

/// The only supported version of the protocol.
pub(super) const VERSION: u8 = 1;

quick_error! {
    /// Why bytes are not a valid frame, or a message cannot be framed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FrameError {
        /// The frame has no version byte.
        Empty {
            display("frame has no version byte")
        }
        /// The frame is larger than [`FRAME_LIMIT`] bytes.
        TooLarge(len: usize) {
            display("frame has {} bytes, at most {} are allowed", len, FRAME_LIMIT)
        }
        /// The version byte is not the supported one.
        Version(version: u8) {
            display("frame has version {}, expected {}", version, VERSION)
        }
        /// The message cannot be encoded or decoded.
        Codec(err: postcard::Error) {
            from()
            display("cannot encode or decode message: {}", err)
        }
        /// The frame is longer than its message, by this many bytes.
        Trailing(len: usize) {
            display("frame has {} bytes after its message", len)
        }
    }
}

/// Appends `message` as a frame to `out`; on an error `out` is left unchanged.
///
/// # Errors
/// [`FrameError::TooLarge`] if the frame would exceed [`FRAME_LIMIT`], [`FrameError::Codec`] if the
/// message cannot be encoded.
pub fn encode(message: &Message, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = out.len();
    let result = append_frame(message, out, start);
    if result.is_err() {
        out.truncate(start);
    }
    result
}

fn append_frame(message: &Message, out: &mut Vec<u8>, start: usize) -> Result<(), FrameError> {
    out.extend_from_slice(&[0; PREFIX_BYTES]);
    out.push(VERSION);
    postcard::serialize_with_flavor(message, Appender(out))?;
    let len = out.len() - start - PREFIX_BYTES;
    if len > FRAME_LIMIT {
        return Err(FrameError::TooLarge(len));
    }
    let prefix = u32::try_from(len).map_err(|_| FrameError::TooLarge(len))?;
    out[start..start + PREFIX_BYTES].copy_from_slice(&prefix.to_le_bytes());
    Ok(())
}

/// Lets postcard append to a vector that already holds data.
struct Appender<'a>(&'a mut Vec<u8>);

impl Flavor for Appender<'_> {
    type Output = ();

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.0.push(byte);
        Ok(())
    }

    fn try_extend(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<()> {
        Ok(())
    }
}
