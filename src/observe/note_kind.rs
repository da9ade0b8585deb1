//! Kinds of decisions on the timeline.

use serde::Deserialize;
use serde::Serialize;

/// Kind of a decision; the serialized names are stable, so that programs can match them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoteKind {
    /// A log record was accepted.
    ChangeAccepted,
    /// A log record was rejected.
    ChangeRejected,
    /// A process joined, is leaving, was reported silent, was heard again or was removed.
    MemberChanged,
    /// A process can no longer tell whether its state is fresh.
    FreshnessLost,
    /// A process knows again that its state is fresh.
    FreshnessRegained,
    /// A scheduler became the owner of a service.
    ServiceTaken,
    /// A scheduler stopped being the owner of a service.
    ServiceGiven,
    /// A request was refused.
    RequestRefused,
    /// A request failed: its attempt failed or its deadline passed.
    RequestFailed,
    /// A request is retried.
    RequestRetried,
    /// Permits of a team moved between processes.
    PermitsMoved,
    /// A backend server gets no more work because it fails.
    HostEjected,
    /// A backend server gets work again.
    HostReadmitted,
    /// A host is being drained: it takes no new work.
    HostDraining,
    /// A host takes work again after maintenance, or after its drain was abandoned.
    HostReturned,
    /// A host moved to another pool.
    HostMoved,
    /// Maintenance waves paused or resumed, or maintenance of a host raised an alarm.
    WaveChanged,
    /// A data centre is back in service and being filled; maintenance waves wait for it.
    DcFilling,
}
