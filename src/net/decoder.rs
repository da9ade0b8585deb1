//! Decodes messages from a byte stream.

use crate::net::frame::FRAME_LIMIT;
use crate::net::frame::FrameError;
use crate::net::frame::PREFIX_BYTES;
use crate::net::frame::VERSION;
use crate::wire::Message;

/// Accepts the bytes of a stream in chunks of any size and returns its messages.
///
/// After an error the frame boundaries are lost and the stream must be closed.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
    frame_len: usize,
}

impl Decoder {
    /// Creates a decoder for a new stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Size of the last decoded frame in bytes, with its length prefix; 0 before the first.
    #[must_use]
    pub const fn frame_len(&self) -> usize {
        self.frame_len
    }

    /// Returns the next message, or `None` if its frame is still incomplete.
    ///
    /// # Errors
    /// A [`FrameError`] if the bytes are not a valid frame.
    pub fn take(&mut self) -> Result<Option<Message>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some((prefix, rest)) = rest.split_first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let len = u32::from_le_bytes(*prefix) as usize;
        if len > FRAME_LIMIT {
            return Err(FrameError::TooLarge(len));
        }
        let Some(frame) = rest.get(..len) else {
            return Ok(None);
        };
        let message = parse(frame)?;
        self.consumed += PREFIX_BYTES + len;
        self.frame_len = PREFIX_BYTES + len;
        Ok(Some(message))
    }
}

fn parse(frame: &[u8]) -> Result<Message, FrameError> {
    let (&version, body) = frame.split_first().ok_or(FrameError::Empty)?;
    if version != VERSION {
        return Err(FrameError::Version(version));
    }
    let (message, rest) = postcard::take_from_bytes(body)?;
    if !rest.is_empty() {
        return Err(FrameError::Trailing(rest.len()));
    }
    Ok(message)
}
