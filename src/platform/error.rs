//! Why the platform did not do as asked.

use hyper::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// Why the platform did not do as asked.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The client cannot talk to it.
        Http(err: cyper::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// It refused.
        Status(status: StatusCode) {
            display("status {}", status)
        }
        /// Its answer cannot be read.
        InvalidResponse(err: serde_json::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// It did not answer in time.
        Timeout {
            display("no answer in time")
        }
    }
}
