//! Why a change has no outcome.

use quick_error::quick_error;

use crate::record::RecordId;

quick_error! {
    /// Why a change has no outcome.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeError {
        /// The log did not take the record: the change doesn't happen.
        NotAppended(why: String) {
            display("the log did not take the change: {}", why)
        }
        /// The change may or may not happen; the same record can be sent again safely.
        Unknown(id: RecordId) {
            display("unknown whether change {} happens", id)
        }
    }
}
