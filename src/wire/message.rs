//! The messages that processes exchange.

use serde::Deserialize;
use serde::Serialize;

use crate::observe::HlcTimestamp;
use crate::observe::NodeTimeline;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Grant;
use crate::wire::Hello;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;
use crate::wire::Refusal;
use crate::wire::Running;
use crate::wire::ServiceLoad;
use crate::wire::SlotRequest;

/// A message on a link, encoded by postcard; a length and a version byte precede it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// First message of either side; the side that connects sends it first.
    Hello(Hello),
    /// Gate to scheduler: requests a slot.
    #[serde(rename = "Ask")]
    SlotRequest(SlotRequest),
    /// Gate to scheduler: withdraws a slot request.
    Cancel(AttemptId),
    /// Gate to scheduler: the attempt has ended and its slot is free.
    Finished {
        /// From the grant.
        attempt: AttemptId,
        /// What the result indicates about the host.
        evidence: Evidence,
    },
    /// Gate to scheduler, after connecting and after each membership change: all its running
    /// attempts.
    Report {
        /// Epoch of the state that the gate acts on.
        epoch: u64,
        /// Attempts that were granted and have not ended.
        running: Vec<Running>,
    },
    /// Scheduler to gate: assigns a slot to an attempt.
    Grant(Grant),
    /// Scheduler to gate: the attempt will not run.
    Refuse(Refusal),
    /// Any process to a fleet process: asks how recent its state is.
    Probe {
        /// Repeated in the reply.
        nonce: u64,
        /// Offset of the next record that the sender will apply.
        offset: u64,
    },
    /// Reply to a probe.
    #[serde(rename = "Vouch")]
    ProbeReply {
        /// Nonce of the probe.
        nonce: u64,
        /// Offset of the next record that the sender will apply.
        offset: u64,
        /// Milliseconds since it last confirmed the head of the log; `None` if it never has.
        age: Option<u32>,
    },
    /// Any process to a fleet process: requests records.
    Fetch {
        /// Offset of the first requested record.
        from: u64,
    },
    /// Records in order, each with its offset; sent in reply to a fetch and after each append.
    Records(Vec<(u64, Vec<u8>)>),
    /// The full state at an offset, sent if the requested records are no longer available.
    Snapshot {
        /// Offset of the next record.
        offset: u64,
        /// The encoded snapshot.
        state: Vec<u8>,
    },
    /// Holder to ledger: permits that it holds and wants for a team.
    #[serde(rename = "Permits")]
    PermitReport(PermitReport),
    /// Ledger to holder: additional permits for a team.
    #[serde(rename = "Permit")]
    PermitGrant(PermitGrant),
    /// Scheduler to fleet process, every second: the load of its services.
    #[serde(rename = "Load")]
    ServiceLoad {
        /// Offset of the next record that the scheduler will apply.
        offset: u64,
        /// Whether all gates have reported their running attempts to it.
        #[serde(rename = "whole")]
        complete: bool,
        /// One entry for each of its services.
        services: Vec<ServiceLoad>,
    },
    /// Clock of the sender; sent before the messages that it applies to.
    Clock(HlcTimestamp),
    /// Fleet process to any process: requests its timeline entries.
    #[serde(rename = "Recall")]
    TimelineRequest {
        /// Repeated in the reply.
        nonce: u64,
        /// Stamp of the first requested entry.
        since: HlcTimestamp,
    },
    /// Reply to a timeline request.
    #[serde(rename = "Recalled")]
    TimelineReply {
        /// Nonce of the request.
        nonce: u64,
        /// Timeline entries of the sender.
        share: NodeTimeline,
    },
}

impl Message {
    /// Whether the message replicates the state or proves its freshness.
    #[must_use]
    pub const fn is_state(&self) -> bool {
        matches!(
            self,
            Self::Probe { .. }
                | Self::ProbeReply { .. }
                | Self::Fetch { .. }
                | Self::Records(_)
                | Self::Snapshot { .. }
        )
    }
}
