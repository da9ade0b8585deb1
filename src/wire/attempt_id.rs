//! Identity of one attempt to run a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A request and the number of the attempt, counted from 1 by its gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: crate::wire::RequestId,
    /// Which attempt it is.
    pub number: u32,
}

impl AttemptId {
    /// The least of all, in their order.
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
