//! Kinds of messages, as used in metric labels.

use crate::wire::Message;

/// Kind of a message; [`Message`] describes each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Handshake on a new link.
    Hello,
    /// Request for a slot.
    SlotRequest,
    /// Cancellation of a slot request.
    Cancel,
    /// End of an attempt, which frees its slot.
    Finished,
    /// Attempts that a gate has running.
    Report,
    /// Grant of a slot.
    Grant,
    /// Refusal of a slot request.
    Refuse,
    /// Freshness check of the state.
    Probe,
    /// Answer to a freshness check.
    ProbeReply,
    /// Request for log records.
    Fetch,
    /// Log records.
    Records,
    /// Snapshot of the state.
    Snapshot,
    /// Permits that a process holds and requests.
    PermitReport,
    /// Grant of permits.
    PermitGrant,
    /// Any other message.
    Other,
}

impl MessageKind {
    /// Every kind, in order of discriminant.
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
    /// Number of kinds; the length of arrays indexed by kind.
    pub const COUNT: usize = Self::ALL.len();

    /// Returns the kind of a message.
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

    /// Value of the metric label `mimosa.message.kind`.
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
