//! Errors of the log client.

use quick_error::quick_error;

quick_error! {
    /// Why an append returned no offset.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AppendError {
        /// The log did not accept the record, and never will.
        NotAppended(why: String) {
            display("not appended: {}", why)
        }
        /// The record may be in the log, or may still be added.
        Unknown(why: String) {
            display("unknown whether appended: {}", why)
        }
        /// A newer writer has taken over, so the log accepts no more records from this one.
        Fenced {
            display("a later writer has begun")
        }
    }
}

quick_error! {
    /// Why a read returned no records.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// The requested records have expired. `first` is the oldest offset that the log still
        /// holds, `head` the offset of its next record.
        Gone(first: u64, head: u64) {
            display("records expired: the log starts at offset {} and ends before {}", first, head)
        }
        /// There was no valid response in time.
        Unavailable(why: String) {
            display("log unavailable: {}", why)
        }
    }
}
