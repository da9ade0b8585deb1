//! What is wrong in a file.

use quick_error::quick_error;

use crate::table::FILE_LIMIT;

quick_error! {
    /// What is wrong in a file.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TableError {
        /// A field of a row is wrong.
        Field(file: String, line: u64, field: String, problem: String) {
            display("{}:{}: field `{}`: {}", file, line, field, problem)
        }
        /// The file has more than [`FILE_LIMIT`] bytes.
        TooLarge(file: String, bytes: usize) {
            display("{}: {} bytes, but a file has at most {}", file, bytes, FILE_LIMIT)
        }
    }
}
