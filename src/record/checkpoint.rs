//! A state in the past, known by its digest.

use serde::Deserialize;
use serde::Serialize;

/// Records between two checkpoints.
pub const CHECKPOINT_RECORDS: u64 = 1000;

/// Digest of the state before the record at an offset. A snapshot of that state still counts when
/// other records reached the log before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the next record.
    pub offset: u64,
    /// BLAKE3 hash of the snapshot.
    pub digest: [u8; 32],
}

impl Checkpoint {
    /// The checkpoint of a state's snapshot.
    #[must_use]
    pub fn of(offset: u64, snapshot: &[u8]) -> Self {
        let digest = *blake3::hash(snapshot).as_bytes();
        Self { offset, digest }
    }
}
