//! Errors of decoding records and snapshots.

use quick_error::quick_error;

quick_error! {
    /// Why data could not be decoded as a record or a snapshot.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The data is empty: the version byte is missing.
        Empty {
            display("empty data: expected a version byte")
        }
        /// The format version is not supported.
        Version(version: u8) {
            display("unsupported format version {}", version)
        }
        /// The bytes after the version byte are not valid postcard data.
        Malformed(err: postcard::Error) {
            display("malformed: {}", err)
            from()
        }
        /// Bytes remain after the last value.
        Trailing(len: usize) {
            display("{} trailing bytes", len)
        }
        /// Two values contradict each other, or a value exceeds its limit.
        Inconsistent(what: &'static str) {
            display("inconsistent: {}", what)
        }
    }
}
