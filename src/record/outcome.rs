//! What the fold made of a record.

use crate::record::Rejection;

/// Result of folding one record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Outcome {
    /// It counts.
    Accepted {
        /// Revision of the operators' part after it.
        revision: u64,
    },
    /// Its id was folded before, and it changes nothing.
    Repeated {
        /// Offset of the first record with the id.
        offset: u64,
        /// What the first came to: the revision after it, or why it was rejected.
        first: Result<u64, Rejection>,
    },
    /// It does not count, and changes nothing.
    Rejected(Rejection),
}

impl Outcome {
    /// Revision after the record, or after the first with its id.
    ///
    /// # Errors
    /// The [`Rejection`] of the record, or of the first with its id.
    pub fn result(&self) -> Result<u64, Rejection> {
        match self {
            Self::Accepted { revision } => Ok(*revision),
            Self::Repeated { first, .. } => first.clone(),
            Self::Rejected(reject) => Err(reject.clone()),
        }
    }
}

impl From<Result<u64, Rejection>> for Outcome {
    fn from(settled: Result<u64, Rejection>) -> Self {
        match settled {
            Ok(revision) => Self::Accepted { revision },
            Err(reject) => Self::Rejected(reject),
        }
    }
}
