//! What an owner tells executors, and what they answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use quick_error::quick_error;

use crate::batch::Fence;
use crate::batch::RunEnd;
use crate::batch::StepId;
use crate::batch::TaskId;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;

/// Whom an order is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The executor.
    pub executor: ExecutorId,
    /// Its address.
    pub addr: SocketAddr,
    /// Number of the owner's term.
    pub fence: Fence,
}

/// Renews an executor's lease and asks what it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// For whom.
    pub target: Target,
    /// Until when its tasks may run, on its own clock, in milliseconds; `None` renews nothing.
    pub deadline: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub acked: u64,
    /// Longest time that the answer waits for an end, in milliseconds.
    pub wait: u64,
}

/// Starts a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// For whom.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// Which of its runs.
    pub run: u64,
    /// What it is told.
    pub spec: Arc<str>,
    /// Until when it may run, on the executor's clock, in milliseconds.
    pub deadline: u64,
    /// Progress from which it goes on.
    pub saved: Option<Arc<str>>,
    /// Permission of the advice service, where the queue needs one.
    pub ticket: Option<Arc<str>>,
    /// When the owner decided on it.
    pub decided: Instant,
}

/// Asks the advice service which executors may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Consult {
    /// The step.
    pub step: StepId,
    /// The executors that are asked for.
    pub executors: Vec<ExecutorId>,
}

/// What the advice service answers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Executors that may run the step, each with its ticket.
    pub good: BTreeMap<ExecutorId, Arc<str>>,
    /// How long the tickets are good for, in milliseconds.
    pub validity: u64,
}

/// Stops a run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// For whom.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// Which of its runs.
    pub run: u64,
}

/// Sets how fast a run works.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pace {
    /// For whom.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// Which of its runs.
    pub run: u64,
    /// Share of its full speed, in hundredths.
    pub percent: u64,
}

/// Takes a host down for its upkeep; it comes back by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Maintain {
    /// The host.
    pub host: HostName,
    /// Number of the wave that asks for it.
    pub wave: u64,
    /// Process that gives the order.
    pub holder: NodeName,
    /// Number of the owner's term.
    pub fence: Fence,
}

/// Moves a host to another pool; it comes back there by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The host.
    pub host: HostName,
    /// Service whose pool it joins.
    pub pool: ServiceName,
    /// Process that gives the order.
    pub holder: NodeName,
    /// Number of the owner's term.
    pub fence: Fence,
}

/// How far a wave is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveState {
    /// Hosts are left.
    Running,
    /// All hosts have had their upkeep.
    Completed,
}

/// A run that an executor has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Which of its runs.
    pub run: u64,
    /// Progress saved so far.
    pub saved: Option<Arc<str>>,
    /// Share of its work that is done, in hundredths.
    pub percent: u64,
    /// Over the last half second: tail of the response times of a task that serves, in
    /// milliseconds; processor in use by any other, in thousandths of a core.
    pub gauge: u64,
}

/// What an executor says of its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Its clock, in milliseconds.
    pub clock: u64,
    /// When this life of it began, in Unix milliseconds.
    pub born: Option<u64>,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and is not forgotten.
    pub ended: Vec<RunEnd>,
}

quick_error! {
    /// Why an order was not carried out, as far as is known.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum OrderError {
        /// No answer: it may be carried out, also later.
        Silent {
            display("no answer")
        }
        /// It was never sent.
        Unsent {
            display("not sent")
        }
        /// The executor is unhealthy and did nothing.
        Busy {
            display("unhealthy")
        }
        /// Another owner has given orders since.
        Fenced {
            display("another owner has taken over")
        }
        /// The run is not newer than one that ended there.
        Old {
            display("the run is not newer than one that ended there")
        }
        /// The lease that came with it is over.
        Late {
            display("the lease was over")
        }
        /// There is no room.
        Full {
            display("no room")
        }
        /// The ticket isn't good, or there is none.
        Unadvised {
            display("the ticket is not good")
        }
        /// The executor began another life.
        Reborn {
            display("the executor began another life")
        }
        /// The host is away or leaving.
        Away {
            display("the host is away or leaving")
        }
        /// There is no such host, or it isn't in the wave.
        Gone {
            display("there is no such host, or it is not in the wave")
        }
        /// The executor does not understand it.
        Invalid {
            display("not understood")
        }
    }
}
