//! Errors in table files.

use quick_error::quick_error;

use crate::table::FILE_LIMIT;

quick_error! {
    /// An error in a table file.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TableError {
        /// A field of a row is invalid; `line` counts from 1.
        Field(file: String, line: u64, field: String, problem: String) {
            display("{}:{}: field `{}`: {}", file, line, field, problem)
        }
        /// The file is larger than [`FILE_LIMIT`].
        TooLarge(file: String, bytes: usize) {
            display("{}: {} bytes, expected at most {}", file, bytes, FILE_LIMIT)
        }
    }
}
