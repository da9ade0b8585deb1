//! Hash of a team's key.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

/// BLAKE3 hash of a key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a key in the form in which callers send it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Whether both hashes are equal, compared in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}
