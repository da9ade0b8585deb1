//! Assignment of an executor in the log.

/// Whether the log lists an executor as one that may have work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assignment {
    /// The log does not list it: it is new, or it was given up, for instance after its leases
    /// expired.
    None,
    /// The record is being appended, under this append id.
    Pending(u64),
    /// The log lists it.
    Recorded,
}
