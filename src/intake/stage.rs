//! What a connection does.

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A request has begun to arrive and is incomplete.
    Receiving,
    /// There is no request, or its answer has not been read yet.
    Idle,
    /// A complete request is being answered.
    Serving,
}
