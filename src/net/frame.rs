//! Frames: a length (`u32`, little endian), a version byte, a message in postcard.

use postcard::ser_flavors::Flavor;
use quick_error::quick_error;

use crate::wire::Message;

/// Largest frame, in bytes, counted without its length.
pub const FRAME_LIMIT: usize = 4 << 20;

/// Bytes of the length.
pub(super) const PREFIX: usize = 4;

/// The only version that is spoken.
pub(super) const VERSION: u8 = 1;

quick_error! {
    /// Why bytes are not a frame, or a message does not fit in one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FrameError {
        /// The frame has no version byte.
        Empty {
            display("a frame without a version")
        }
        /// The frame is larger than [`FRAME_LIMIT`] bytes.
        TooLarge(len: usize) {
            display("a frame of {} bytes, at most {} are allowed", len, FRAME_LIMIT)
        }
        /// The frame has another version.
        Version(version: u8) {
            display("a frame of version {}, only {} is spoken", version, VERSION)
        }
        /// The frame holds no message.
        Codec(err: postcard::Error) {
            from()
            display("a frame without a message: {}", err)
        }
        /// Bytes follow the frame's message.
        Trailing(len: usize) {
            display("{} bytes behind a frame's message", len)
        }
    }
}

/// Appends the frame of `message` to `out`; on an error `out` is as before.
///
/// # Errors
/// [`FrameError::TooLarge`] if the message does not fit, [`FrameError::Codec`] if it cannot be
/// encoded.
pub fn encode(message: &Message, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = out.len();
    let written = append(message, out, start);
    if written.is_err() {
        out.truncate(start);
    }
    written
}

fn append(message: &Message, out: &mut Vec<u8>, start: usize) -> Result<(), FrameError> {
    out.extend_from_slice(&[0; PREFIX]);
    out.push(VERSION);
    postcard::serialize_with_flavor(message, Appender(out))?;
    let len = out.len() - start - PREFIX;
    if len > FRAME_LIMIT {
        return Err(FrameError::TooLarge(len));
    }
    let prefix = u32::try_from(len).map_err(|_| FrameError::TooLarge(len))?;
    out[start..start + PREFIX].copy_from_slice(&prefix.to_le_bytes());
    Ok(())
}

/// Lets postcard write behind what a vector holds already.
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
