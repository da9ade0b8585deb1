//! Orders of an owner to executors and to the platform, and their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use quick_error::quick_error;

use crate::batch::Fence;
use crate::batch::RunEnd;
use crate::batch::StepId;
use crate::batch::TaskId;
use crate::http::ClientError;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;

/// The executor that an order is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the executor.
    pub executor: ExecutorId,
    /// Address of the executor.
    pub addr: SocketAddr,
    /// Fencing token of the executor's process. Executors refuse lower ones than they have seen, so
    /// that a process that has seen its own takes no orders to an earlier one or of an earlier owner.
    pub token: Fence,
    /// When the process started that the order is meant for, in Unix milliseconds, if it has told.
    pub born: Option<u64>,
    /// Until then, no other process can have taken its place.
    pub certain: Option<Instant>,
}

/// Renews the leases of an executor and asks for a [`Report`] of its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Executor that the order is for.
    pub target: Target,
    /// New end of the leases on the executor's clock, in milliseconds; `None` renews nothing.
    pub deadline: Option<u64>,
    /// Ends up to this number are acknowledged: the executor may drop them.
    pub acked: u64,
    /// Longest time that the executor delays its answer until a run ends, in milliseconds.
    pub wait: u64,
    /// When the owner decided to send it. Not sent: heartbeats are told apart by it.
    pub decided: Instant,
}

/// Starts a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Executor that the order is for.
    pub target: Target,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Specification from the job, as the client submitted it.
    pub spec: Arc<str>,
    /// End of its lease on the executor's clock, in milliseconds.
    pub deadline: u64,
    /// Saved progress from which it resumes; `None` to start from scratch.
    pub saved: Option<Arc<str>>,
    /// Ticket of the advice service, if the queue needs one.
    pub ticket: Option<Arc<str>>,
    /// Service of its job. Not sent: unanswered starts are counted by service.
    pub service: ServiceName,
    /// When the owner decided to start it. Not sent: unanswered starts are told apart by it.
    pub decided: Instant,
}

/// Answer of an executor that has carried out a [`Start`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartAnswer {
    /// Clock of the executor, in milliseconds, if it tells.
    pub clock: Option<u64>,
}

/// A question to the advice service: which executors may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Consult {
    /// Step that the question is about.
    pub step: StepId,
    /// Candidates among which the service chooses.
    pub executors: Vec<ExecutorId>,
}

/// An answer of the advice service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Executors that may run the step, each with its ticket.
    pub tickets: BTreeMap<ExecutorId, Arc<str>>,
    /// Time for which the tickets are valid, in milliseconds.
    pub validity: u64,
}

/// Stops a run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Executor that the order is for.
    pub target: Target,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
}

/// Sets the speed of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pace {
    /// Executor that the order is for.
    pub target: Target,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// New speed, in percent of full speed.
    pub percent: u64,
}

/// Takes a host down for maintenance; it comes up again by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Maintain {
    /// Host to take down.
    pub host: HostName,
    /// Number of the wave that the host belongs to.
    pub wave: u64,
    /// Process that sends the order.
    pub holder: NodeName,
    /// Fencing token: the number of the owner's term.
    pub fence: Fence,
}

/// Moves a host to another pool; it comes up there by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Host to move.
    pub host: HostName,
    /// Service whose pool it joins.
    pub pool: ServiceName,
    /// Process that sends the order.
    pub holder: NodeName,
    /// Fencing token: the number of the owner's term.
    pub fence: Fence,
}

/// State of a wave, as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveState {
    /// Some hosts have not had their maintenance yet.
    Running,
    /// All hosts have had their maintenance.
    Completed,
}

/// Report of one run on an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Progress saved so far, if any.
    pub saved: Option<Arc<str>>,
    /// Share of its work that is done, in percent.
    pub percent: u64,
    /// Measured over the last half second: for a serving task its tail latency, in milliseconds;
    /// for any other the CPU in use, in thousandths of a core.
    pub measured: u64,
}

/// Answer of an executor to a [`Heartbeat`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Clock of the executor, in milliseconds; deadlines of orders are on this clock.
    pub clock: u64,
    /// When its process started, in Unix milliseconds, if it tells.
    pub born: Option<u64>,
    /// Runs that it has now.
    pub running: Vec<Running>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<RunEnd>,
    /// There may be further ends that it doesn't list: a run that it doesn't name may have ended.
    pub more_ends: bool,
}

quick_error! {
    /// Why an order was not carried out, as far as is known. The variants' names are also the
    /// outcomes in the metrics, in lower case.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum OrderError {
        /// No answer, or one that does not tell. The order may have been carried out, or may still
        /// be.
        Silent {
            display("no answer")
        }
        /// The order was never sent.
        Unsent {
            display("not sent")
        }
        /// The receiver is unhealthy or overloaded and did nothing.
        Busy {
            display("unhealthy")
        }
        /// The executor or the platform has seen a later owner's fencing token.
        Fenced {
            display("another owner has taken over")
        }
        /// A run of the task with this number or a higher one has ended there.
        Old {
            display("the run is not newer than one that ended there")
        }
        /// The lease in the order had expired on arrival.
        Late {
            display("the lease had expired")
        }
        /// The executor has no free capacity for the task.
        Full {
            display("no free capacity")
        }
        /// The ticket is missing or not valid.
        Unadvised {
            display("the ticket is missing or not valid")
        }
        /// The order was for an earlier process of the executor, which has restarted.
        Reborn {
            display("the executor has restarted")
        }
        /// The host is down, moving or draining.
        Away {
            display("the host is down, moving or draining")
        }
        /// There is no such host, it is not in the wave, or it can't join the pool.
        Gone {
            display("there is no such host, or it is not in the wave")
        }
        /// The receiver could not understand the order.
        Invalid {
            display("not understood")
        }
    }
}

impl From<ClientError> for OrderError {
    fn from(err: ClientError) -> Self {
        match err {
            ClientError::Unsent(_) => Self::Unsent,
            ClientError::Silent(_) => Self::Silent,
        }
    }
}
