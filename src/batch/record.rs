//! Records of the platform's log about jobs.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::Partitions;
use crate::batch::TaskId;
use crate::batch::job_snapshot::JobSnapshot;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;

/// Number of an owner's term; each owner's is higher than all before.
pub type Fence = u64;

/// Runs of an owner are numbered from its fence times this on, so that they rise over all owners.
pub const RUNS_PER_FENCE: u64 = 1_000_000;

/// How a run of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed, by its own fault or its executor's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for its gang.
    Alone,
}

impl RunOutcome {
    /// All ways to end.
    pub const ALL: [Self; 6] = [
        Self::Done,
        Self::Failed,
        Self::Stopped,
        Self::Lapsed,
        Self::Broken,
        Self::Alone,
    ];
}

/// An end of a run that an executor has listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The executor's number of this end.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which of the task's runs.
    pub run: u64,
    /// How it ended.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// Progress from which another run can go on.
    pub saved: Option<Arc<str>>,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Accepted(Job),
    /// A job and how far it is, written again before its first record expires.
    #[serde(rename = "Carried")]
    JobSnapshot(Box<JobSnapshot>),
    /// A client cancelled a job.
    Cancelled(JobId),
    /// From here on, tasks of these jobs may be started on any executor.
    Claimed(Vec<JobId>),
    /// A host was ordered down or to another pool.
    #[serde(rename = "Ordered")]
    HostOrdered {
        /// The host.
        host: HostName,
        /// When, in Unix milliseconds.
        at: u64,
    },
    /// An owner began its term.
    #[serde(rename = "Took")]
    TermStarted {
        /// Its number.
        fence: Fence,
        /// Its process.
        node: NodeName,
    },
    /// Runs ended; the executor may forget these ends.
    Ended(Vec<RunEnd>),
    /// An executor may be given work from here on.
    #[serde(rename = "Engaged")]
    Assigned {
        /// The executor.
        executor: ExecutorId,
        /// Service whose tasks it runs.
        service: ServiceName,
        /// Its address.
        addr: SocketAddr,
    },
    /// A host has had its upkeep in a wave, or is gone.
    #[serde(rename = "Kept")]
    HostMaintained {
        /// Number of the wave.
        wave: u64,
        /// The host.
        host: HostName,
    },
    /// Nothing runs on an executor any more, and it will be given nothing.
    Released(ExecutorId),
    /// From here on, tasks of these jobs may be started on executors of these cells as well.
    Granted(Vec<(JobId, Partitions)>),
    /// The owner has not heard from these executors and gives them nothing before they are engaged
    /// anew; beside each, for how long no owner has given it anything, in milliseconds.
    #[serde(rename = "Unheard")]
    Unresponsive(Vec<(ExecutorId, u64)>),
    /// Operators have asked for a wave of upkeep.
    #[serde(rename = "Asked")]
    WaveRequested {
        /// Number of the wave.
        wave: u64,
        /// When an owner first saw that, in Unix milliseconds.
        at: u64,
    },
}

impl Record {
    /// Its bytes in the log.
    ///
    /// # Errors
    /// A [`postcard::Error`] if it has none.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Reads it from its bytes in the log.
    ///
    /// # Errors
    /// A [`postcard::Error`] if the bytes hold no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
