//! What a backend server said about an attempt that was to end.

/// Answer to a cancellation, or its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// It has not seen the attempt, and will refuse it from now on.
    Refused,
    /// The attempt does not run any more; it may have run.
    Stopped,
    /// No answer.
    Unreachable,
}
