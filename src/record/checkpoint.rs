//! Digest of an earlier state.

use serde::Deserialize;
use serde::Serialize;

/// Number of records between two checkpoints.
pub const CHECKPOINT_RECORDS: u64 = 1000;

/// Digest of the state before the record at an offset. It allows a snapshot of that state to be
/// accepted even if other records reach the log before the snapshot does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the first record that the state does not include.
    pub offset: u64,
    /// BLAKE3 hash of the encoded snapshot.
    pub digest: [u8; 32],
}

impl Checkpoint {
    /// Computes the checkpoint of an encoded snapshot.
    #[must_use]
    pub fn of(offset: u64, snapshot: &[u8]) -> Self {
        let digest = *blake3::hash(snapshot).as_bytes();
        Self { offset, digest }
    }
}
