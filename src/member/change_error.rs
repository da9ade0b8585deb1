//! Errors of appending a change.

use quick_error::quick_error;

use crate::record::RecordId;

quick_error! {
    /// Why appending a change gave no outcome.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeError {
        /// The log did not accept the record: the change never takes effect.
        NotAppended(why: String) {
            display("change not appended to the log: {}", why)
        }
        /// The change may or may not take effect; the same record can safely be appended again.
        Unknown(id: RecordId) {
            display("unknown whether change {} takes effect", id)
        }
    }
}
