//! Everything that one process says to another.

use serde::Deserialize;
use serde::Serialize;

use crate::observe::HlcTimestamp;
use crate::observe::NodeTimeline;
use crate::wire::Ask;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Grant;
use crate::wire::Hello;
use crate::wire::Load;
use crate::wire::Permit;
use crate::wire::Permits;
use crate::wire::Refusal;
use crate::wire::Running;

/// A message on a link; the encoding is postcard behind a version byte and a length.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// First message of the side that connects, and the answer to it.
    Hello(Hello),
    /// Gate to scheduler: wants a slot.
    Ask(Ask),
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
    Vouch {
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
    Permits(Permits),
    /// Ledger to holder: further permits of a team.
    Permit(Permit),
    /// Scheduler to fleet process, each second: the load of its services.
    Load {
        /// Offset that the scheduler has folded up to.
        offset: u64,
        /// Whether it has heard from all gates what they run.
        whole: bool,
        /// Its services.
        services: Vec<Load>,
    },
    /// The sender's clock, ahead of the messages behind it.
    Clock(HlcTimestamp),
    /// Fleet process to any: send your time line.
    Recall {
        /// Repeated in the answer.
        nonce: u64,
        /// First stamp wanted.
        since: HlcTimestamp,
    },
    /// Answer to a recall.
    Recalled {
        /// From the recall.
        nonce: u64,
        /// The time line.
        share: NodeTimeline,
    },
}

impl Message {
    /// Whether it is about the state and its freshness, and not about requests or permits.
    #[must_use]
    pub const fn is_state(&self) -> bool {
        matches!(
            self,
            Self::Probe { .. }
                | Self::Vouch { .. }
                | Self::Fetch { .. }
                | Self::Records(_)
                | Self::Snapshot { .. }
        )
    }
}
