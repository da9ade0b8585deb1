//! Kinds of messages, as metrics name them.

use crate::wire::Message;

/// What a message is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Who speaks.
    Hello,
    /// A slot is wanted.
    SlotRequest,
    /// A slot is no longer wanted.
    Cancel,
    /// A slot is free.
    Finished,
    /// What a gate has running.
    Report,
    /// A slot is given.
    Grant,
    /// A slot is refused.
    Refuse,
    /// How recent is the state?
    Probe,
    /// So recent.
    ProbeReply,
    /// Records are wanted.
    Fetch,
    /// Records.
    Records,
    /// A whole state.
    Snapshot,
    /// Permits held and wanted.
    PermitReport,
    /// Permits given.
    PermitGrant,
    /// All others.
    Other,
}

impl MessageKind {
    /// Every kind, in the order of their numbers.
    pub const ALL: [Self; 15] = [
        Self::Hello,
        Self::SlotRequest,
        Self::Cancel,
        Self::Finished,
        Self::Report,
        Self::Grant,
        Self::Refuse,
        Self::Probe,
        Self::ProbeReply,
        Self::Fetch,
        Self::Records,
        Self::Snapshot,
        Self::PermitReport,
        Self::PermitGrant,
        Self::Other,
    ];
    /// Number of kinds.
    pub const COUNT: usize = Self::ALL.len();

    /// The kind of a message.
    #[must_use]
    pub const fn of(message: &Message) -> Self {
        match message {
            Message::Hello(_) => Self::Hello,
            Message::SlotRequest(_) => Self::SlotRequest,
            Message::Cancel(_) => Self::Cancel,
            Message::Finished { .. } => Self::Finished,
            Message::Report { .. } => Self::Report,
            Message::Grant(_) => Self::Grant,
            Message::Refuse(_) => Self::Refuse,
            Message::Probe { .. } => Self::Probe,
            Message::ProbeReply { .. } => Self::ProbeReply,
            Message::Fetch { .. } => Self::Fetch,
            Message::Records(_) => Self::Records,
            Message::Snapshot { .. } => Self::Snapshot,
            Message::PermitReport { .. } => Self::PermitReport,
            Message::PermitGrant { .. } => Self::PermitGrant,
            #[allow(unreachable_patterns)]
            _ => Self::Other,
        }
    }

    /// The word in labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::SlotRequest => "ask",
            Self::Cancel => "cancel",
            Self::Finished => "finished",
            Self::Report => "report",
            Self::Grant => "grant",
            Self::Refuse => "refuse",
            Self::Probe => "probe",
            Self::ProbeReply => "vouch",
            Self::Fetch => "fetch",
            Self::Records => "records",
            Self::Snapshot => "snapshot",
            Self::PermitReport => "permits",
            Self::PermitGrant => "permit",
            Self::Other => "other",
        }
    }
}
