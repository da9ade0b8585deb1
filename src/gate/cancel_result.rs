//! Result of cancelling an attempt.

/// Response of a backend server to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The server has not received the attempt, and refuses it from now on.
    Refused,
    /// The attempt is not running; it may have run.
    Stopped,
    /// There was no valid response, or none that rules out that the attempt still arrives.
    Unreachable,
}
