//! What is done to connections for lack of place.

/// What was done for lack of memory or connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntakeEvent {
    /// A connection with an incomplete request was cut.
    IncompleteCut,
    /// An idle connection was cut.
    IdleCut,
    /// A new connection was closed.
    ConnectionRefused,
    /// A body was refused.
    BodyRefused,
}

impl IntakeEvent {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::IncompleteCut => "incomplete-cut",
            Self::IdleCut => "idle-cut",
            Self::ConnectionRefused => "connection-refused",
            Self::BodyRefused => "body-refused",
        }
    }
}
