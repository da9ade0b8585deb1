//! The process that a request is meant for.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;

/// A process of a server that may have been followed by another one at the same address. A connection
/// ends with its process, so a request on one whose process is known reaches no other.
pub struct Recipient {
    /// When the process started, in Unix milliseconds.
    pub process: u64,
    /// Request that asks a server when its process started.
    pub question: Request<Full<Bytes>>,
    /// Returns what the answer to the question tells, if it does.
    pub read: fn(&Response<Bytes>) -> Option<u64>,
}
