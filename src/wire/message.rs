//! Everything that one process says to another.

use serde::Deserialize;
use serde::Serialize;

use crate::observe::Share;
use crate::observe::Stamp;
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

/// A message on a link; the encoding is postcard behind a version byte and a length.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// First message of the side that connects, and the answer to it.
    Hello(Hello),
    /// Gate to scheduler: wants a slot.
    #[serde(rename = "Ask")]
    SlotRequest(SlotRequest),
    /// Gate to scheduler: no longer wants the slot it asked for.
    Cancel(AttemptId),
    /// Gate to scheduler: the attempt is over and its slot is free.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// What it says about its host.
        evidence: Evidence,
    },
    /// Gate to scheduler, after connecting and after each change of members: every attempt that
    /// it has running.
    Report {
        /// Epoch of the gate's state.
        epoch: u64,
        /// What it has running.
        running: Vec<Running>,
    },
    /// Scheduler to gate: run it there.
    Grant(Grant),
    /// Scheduler to gate: it does not run.
    Refuse(Refusal),
    /// Any process to a fleet process: how recent is your state?
    Probe {
        /// Repeated in the answer.
        nonce: u64,
        /// Offset that the asker has folded up to.
        offset: u64,
    },
    /// Answer to a probe.
    #[serde(rename = "Vouch")]
    ProbeReply {
        /// From the probe.
        nonce: u64,
        /// Offset that the answerer has folded up to.
        offset: u64,
        /// Milliseconds since it asked the log for its head and was told, if ever.
        age: Option<u32>,
    },
    /// Any process to a fleet process: send the records from this offset.
    Fetch {
        /// First offset wanted.
        from: u64,
    },
    /// Records in order, each with its offset; the answer to a fetch, and pushed after an append.
    Records(Vec<(u64, Vec<u8>)>),
    /// The whole state at an offset, where the records wanted are no longer held.
    Snapshot {
        /// Offset of the next record.
        offset: u64,
        /// The state in the snapshot's encoding.
        state: Vec<u8>,
    },
    /// Holder to ledger: permits of a team.
    #[serde(rename = "Permits")]
    PermitReport(PermitReport),
    /// Ledger to holder: further permits of a team.
    #[serde(rename = "Permit")]
    PermitGrant(PermitGrant),
    /// Scheduler to fleet process, each second: the load of its services.
    #[serde(rename = "Load")]
    ServiceLoad {
        /// Offset that the scheduler has folded up to.
        offset: u64,
        /// Whether it has heard from all gates what they run.
        #[serde(rename = "whole")]
        complete: bool,
        /// Its services.
        services: Vec<ServiceLoad>,
    },
    /// The sender's clock, ahead of the messages behind it.
    Clock(Stamp),
    /// Fleet process to any: send your time line.
    #[serde(rename = "Recall")]
    TimelineRequest {
        /// Repeated in the answer.
        nonce: u64,
        /// First stamp wanted.
        since: Stamp,
    },
    /// Answer to a recall.
    #[serde(rename = "Recalled")]
    TimelineReply {
        /// From the recall.
        nonce: u64,
        /// The time line.
        share: Share,
    },
}

impl Message {
    /// Whether it is about the state and its freshness, and not about requests or permits.
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
