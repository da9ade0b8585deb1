//! Identifier of an attempt to run a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A request and the number of the attempt, which its gate counts from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: crate::wire::RequestId,
    /// Counts from 1; 0 only in [`Self::MIN`].
    pub number: u32,
}

impl AttemptId {
    /// Less than or equal to every identifier.
    pub const MIN: Self = Self {
        request: crate::wire::RequestId(0),
        number: 0,
    };
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}
