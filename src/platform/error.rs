//! Errors of requests to the platform.

use hyper::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// A failed request to the platform.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The request could not be sent, or the response could not be received.
        Http(err: cyper::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The response has a status other than success.
        Status(status: StatusCode) {
            display("unexpected status {}", status)
        }
        /// The response body can't be decoded.
        InvalidResponse(err: serde_json::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// No response arrived before the deadline.
        Timeout {
            display("no response before the deadline")
        }
    }
}
