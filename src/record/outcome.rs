//! Result of applying a record.

use crate::record::Rejection;

/// Result of applying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Outcome {
    /// The record was applied.
    Accepted {
        /// Revision after the record.
        revision: u64,
    },
    /// A record with the same id was applied or rejected before; nothing changed.
    Repeated {
        /// Offset of the first record with the id.
        offset: u64,
        /// Result of that record: the revision after it, or why it was rejected.
        first: Result<u64, Rejection>,
    },
    /// The record was rejected; nothing changed.
    Rejected(Rejection),
}

impl Outcome {
    /// Revision after the record, or after the first record with the same id.
    ///
    /// # Errors
    /// The [`Rejection`] of the record, or of the first record with the same id.
    pub fn result(&self) -> Result<u64, Rejection> {
        match self {
            Self::Accepted { revision } => Ok(*revision),
            Self::Repeated { first, .. } => first.clone(),
            Self::Rejected(rejection) => Err(rejection.clone()),
        }
    }
}

impl From<Result<u64, Rejection>> for Outcome {
    fn from(result: Result<u64, Rejection>) -> Self {
        match result {
            Ok(revision) => Self::Accepted { revision },
            Err(rejection) => Self::Rejected(rejection),
        }
    }
}
