//! Messages from a stream of bytes.

use crate::net::frame::FRAME_LIMIT;
use crate::net::frame::FrameError;
use crate::net::frame::PREFIX;
use crate::net::frame::VERSION;
use crate::wire::Message;

/// Fed with the bytes of a stream in any split, yields its messages.
///
/// After an error the stream has lost its frames and must be closed.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
    frame: usize,
}

impl Decoder {
    /// A decoder at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the stream's next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes of the frame that was taken last.
    #[must_use]
    pub const fn frame_len(&self) -> usize {
        self.frame
    }

    /// Takes the next message out, or `None` if its bytes have not all come.
    ///
    /// # Errors
    /// A [`FrameError`] if the bytes are not a frame.
    pub fn take(&mut self) -> Result<Option<Message>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some((prefix, rest)) = rest.split_first_chunk::<PREFIX>() else {
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
        self.consumed += PREFIX + len;
        self.frame = PREFIX + len;
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
