//! Kinds of decisions on the time line.

use serde::Deserialize;
use serde::Serialize;

/// What was decided; the words are stable for programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoteKind {
    /// A record of the log was accepted.
    ChangeAccepted,
    /// A record of the log was rejected.
    ChangeRejected,
    /// A process joined, is leaving or was ended.
    MemberChanged,
    /// A process no longer knows that its state is recent.
    FreshnessLost,
    /// A process knows again that its state is recent.
    FreshnessRegained,
    /// A scheduler took a service over.
    ServiceTaken,
    /// A scheduler gave a service up.
    ServiceGiven,
    /// A request was refused.
    RequestRefused,
    /// A request got no regular answer.
    RequestFailed,
    /// A request is tried again.
    RequestRetried,
    /// Permits of a team moved between processes.
    PermitsMoved,
    /// A backend server gets no work because it fails.
    HostEjected,
    /// A backend server gets work again.
    HostReadmitted,
    /// A host is being emptied.
    HostDraining,
    /// A host takes work again.
    HostReturned,
    /// A host moved to another pool.
    HostMoved,
    /// A maintenance wave started, paused or ended.
    WaveChanged,
    /// A data centre is being filled again after its return.
    DcFilling,
}
