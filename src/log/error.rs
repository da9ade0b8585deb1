//! What can go wrong with the log.

use quick_error::quick_error;

quick_error! {
    /// Why an append gave no offset.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AppendError {
        /// The log did not take the record, and will not.
        NotAppended(why: String) {
            display("not appended: {}", why)
        }
        /// The record may be in the log, or may yet come there.
        Unknown(why: String) {
            display("unknown whether appended: {}", why)
        }
        /// A later writer has begun, so the log takes nothing of this one any more.
        Fenced {
            display("a later writer has begun")
        }
    }
}

quick_error! {
    /// Why a read gave no records.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// The records wanted have expired.
        Gone(first: u64, head: u64) {
            display("the log holds the records from {} to {} only", first, head)
        }
        /// The log gave no proper answer in time.
        Unavailable(why: String) {
            display("the log is unavailable: {}", why)
        }
    }
}
