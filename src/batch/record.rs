//! Job records in the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::Partitions;
use crate::batch::Resources;
use crate::batch::TaskId;
use crate::batch::executor_state::ExecutorState;
use crate::batch::job_snapshot::JobSnapshot;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;

/// Fencing token: number of an owner's term, higher than that of any earlier term.
pub type Fence = u64;

/// Fencing tokens that are reserved per term. The first process of an executor that an owner knows is
/// sent the fence of the term times this value, each later one the next token.
pub const TOKENS_PER_FENCE: u64 = 10_000;

/// Run numbers that are reserved per term. The runs of a term are numbered from its fence times
/// this value on, so that later owners' numbers are higher.
pub const RUNS_PER_FENCE: u64 = 1_000_000;

/// How a run of a task ended. The variants' names are also values of a metric, in lower case, and
/// of a log key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It completed its work.
    Done,
    /// It failed, whether the task or its executor was at fault.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another task of its gang ended.
    Broken,
    /// The rest of its gang did not start in time.
    Alone,
}

impl RunOutcome {
    /// All outcomes, in the order of their discriminants.
    pub const ALL: [Self; 6] = [
        Self::Done,
        Self::Failed,
        Self::Stopped,
        Self::Lapsed,
        Self::Broken,
        Self::Alone,
    ];
}

/// End of a run, as reported by an executor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Sequence number of the end at its executor, by which it is acknowledged.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How the run ended.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// Saved progress from which the next run can resume.
    pub saved: Option<Arc<str>>,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Accepted(Job),
    /// Snapshot of a job, written before its earlier records expire.
    #[serde(rename = "Carried")]
    JobSnapshot(Box<JobSnapshot>),
    /// A client cancelled a job.
    Cancelled(JobId),
    /// Same as `Granted` with all partitions. Read, but not written by this version.
    Claimed(Vec<JobId>),
    /// A host is to be taken down for maintenance or moved to another pool; written before the
    /// order is given.
    #[serde(rename = "Ordered")]
    HostOrdered {
        /// The host.
        host: HostName,
        /// Time of the decision, in Unix milliseconds.
        at: u64,
    },
    /// An owner began its term.
    #[serde(rename = "Took")]
    TermStarted {
        /// Number of the term.
        fence: Fence,
        /// Process of the owner.
        node: NodeName,
    },
    /// Runs ended. Once this is in the log, the executor may drop its entries for them.
    Ended(Vec<RunEnd>),
    /// An executor may be assigned work from here on, so later owners have to ask it what it runs.
    #[serde(rename = "Engaged")]
    Assigned {
        /// The executor.
        executor: ExecutorId,
        /// Service whose tasks it runs.
        service: ServiceName,
        /// Address of the executor.
        addr: SocketAddr,
    },
    /// A host was maintained in a wave, or no longer exists.
    #[serde(rename = "Kept")]
    HostMaintained {
        /// Number of the wave.
        wave: u64,
        /// The host.
        host: HostName,
    },
    /// An executor runs nothing; it gets no work before another `Assigned` record.
    Released(ExecutorId),
    /// Tasks of these jobs may also be started on executors of these partitions from here on.
    Granted(Vec<(JobId, Partitions)>),
    /// Executors that may have runs unknown to the owner, as they have not reported to it since the
    /// takeover; they get no work before another `Assigned` record. Each comes with the time for
    /// which no owner has given it work, in milliseconds.
    #[serde(rename = "Unheard")]
    RecoveryWaits(Vec<(ExecutorId, u64)>),
    /// Operators have requested a maintenance wave.
    #[serde(rename = "Asked")]
    WaveRequested {
        /// Number of the wave.
        wave: u64,
        /// When an owner first saw the request, in Unix milliseconds.
        at: u64,
    },
    /// The owner went on after a change of the election's group. Tells nothing else: that it is in the
    /// log shows the owner that no later one had begun.
    TermContinued {
        /// Number of the group's change.
        generation: Fence,
    },
    /// Snapshot of a job that is too large for one record, without the state of its tasks. `Ended`
    /// records with that state follow.
    JobOutline(Box<JobSnapshot>),
    /// Capacity of an executor that may be assigned work. What runs there unseen after a change of
    /// owners takes no more than the greatest that is recorded for it.
    Capacity {
        /// The executor.
        executor: ExecutorId,
        /// What it has.
        capacity: Resources,
    },
}

/// Upper bound of the size of a run's end in a record, without its saved progress, in bytes.
const END_BYTES: usize = 64;

impl Record {
    /// Returns the records that must be in the log before an executor is given work.
    #[must_use]
    pub fn assignment(id: &ExecutorId, executor: &ExecutorState) -> Vec<Self> {
        let mut records = vec![Self::Assigned {
            executor: id.clone(),
            service: executor.service.clone(),
            addr: executor.addr,
        }];
        if let Some(info) = &executor.info {
            records.push(Self::Capacity {
                executor: id.clone(),
                capacity: info.capacity,
            });
        }
        records
    }

    /// Returns records of ends of runs that have at most `limit` bytes each. Saved progress that alone
    /// exceeds a record is left out.
    #[must_use]
    pub fn of_ends(ends: Vec<RunEnd>, limit: usize) -> Vec<Self> {
        let mut chunks: Vec<Vec<RunEnd>> = Vec::new();
        // The number of ends and the kind of record take a part of the first one's bytes.
        let mut left = 0;
        for mut end in ends {
            let saved = |end: &RunEnd| end.saved.as_ref().map_or(0, |saved| saved.len());
            if 2 * END_BYTES + saved(&end) > limit {
                end.saved = None;
            }
            let size = END_BYTES + saved(&end);
            if size > left {
                left = limit.saturating_sub(END_BYTES);
                chunks.push(Vec::new());
            }
            left = left.saturating_sub(size);
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(end);
            }
        }
        chunks.into_iter().map(Self::Ended).collect()
    }

    /// Encodes the record as it is stored in the log.
    ///
    /// # Errors
    /// A [`postcard::Error`] if the record cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a record from its bytes in the log.
    ///
    /// # Errors
    /// A [`postcard::Error`] if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
