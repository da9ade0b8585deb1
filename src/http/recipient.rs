//! The process that a request is meant for.

use std::time::Instant;

use bytes::Bytes;
use hyper::Response;

/// A process of a server that may have been followed by another one at the same address. A connection
/// ends with its process, so a request on one whose process is known reaches no other.
#[derive(Debug, Clone, Copy)]
pub struct Recipient {
    /// When the process started, in Unix milliseconds.
    pub process: u64,
    /// Until then, no other process can have taken its place.
    pub certain: Option<Instant>,
    /// Returns when the process started that gave an answer to the question, if it tells.
    pub read: fn(&Response<Bytes>) -> Option<u64>,
}

impl Recipient {
    /// Whether a connection that is opened by `now` can only be one with this process.
    #[must_use]
    pub fn is_certain(&self, now: Instant) -> bool {
        self.certain.is_some_and(|until| now < until)
    }
}
