//! Identifier of a request inside the system.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Identifier that the gate assigns on accepting the request; displayed as 32 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
