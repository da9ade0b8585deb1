//! Why bytes are not what they should be.

use quick_error::quick_error;

quick_error! {
    /// Why bytes are neither a record nor a snapshot.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// There is no version byte.
        Empty {
            display("no bytes")
        }
        /// A version that this program doesn't know.
        Version(version: u8) {
            display("unknown version {}", version)
        }
        /// The bytes don't hold the values that they should.
        Malformed(err: postcard::Error) {
            display("malformed: {}", err)
            from()
        }
        /// Bytes follow the last value.
        Trailing(len: usize) {
            display("{} bytes too many", len)
        }
        /// A value contradicts another or breaks a limit.
        Inconsistent(what: &'static str) {
            display("inconsistent: {}", what)
        }
    }
}
