//! Input and output of the owner's dispatcher, and the messages between gates and the owner.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Advice;
use crate::batch::Consult;
use crate::batch::Directives;
use crate::batch::Executor;
use crate::batch::Heartbeat;
use crate::batch::Host;
use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::JobState;
use crate::batch::Maintain;
use crate::batch::OrderError;
use crate::batch::Pace;
use crate::batch::Record;
use crate::batch::Report;
use crate::batch::Start;
use crate::batch::StartAnswer;
use crate::batch::Stop;
use crate::batch::Transfer;
use crate::batch::WaveState;
use crate::name::QueueName;

/// A point in time on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic clock.
    pub at: Instant,
    /// Wall clock, in Unix milliseconds.
    pub unix: u64,
}

/// An input of the dispatcher. The error of an order tells why it was not carried out, as far as is
/// known.
#[derive(Debug)]
pub enum Event {
    /// The operators' directives have changed.
    Directives(Directives),
    /// The platform's current list of executors.
    Executors(Vec<Executor>),
    /// Records that were read from the gates' stream, in the order of the log.
    Records {
        /// The records that could be decoded.
        records: Vec<Record>,
        /// Whether the log has further records to be read.
        more: bool,
    },
    /// The append with this id is in the log.
    Appended(u64),
    /// Records that this owner appended on behalf of a gate are in the log.
    Stored(Vec<Record>),
    /// Result of a heartbeat, which renews an executor's lease and asks what it runs.
    HeartbeatAnswered {
        /// The order.
        order: Heartbeat,
        /// When the order was sent.
        sent: Instant,
        /// The answer, or why the order was not carried out.
        result: Result<Report, OrderError>,
    },
    /// Result of an order to start a task.
    Started {
        /// The order.
        order: Start,
        /// The answer, or why the order was not carried out.
        result: Result<StartAnswer, OrderError>,
    },
    /// Result of a request to the advice service.
    Advised {
        /// The request.
        question: Consult,
        /// The answer, or why the order was not carried out.
        result: Result<Advice, OrderError>,
    },
    /// Result of an order to set a run's pace.
    Paced {
        /// The order.
        order: Pace,
        /// The answer, or why the order was not carried out.
        result: Result<(), OrderError>,
    },
    /// Result of an order to take a host down for maintenance.
    Maintained {
        /// The order.
        order: Maintain,
        /// The answer, or why the order was not carried out.
        result: Result<(), OrderError>,
    },
    /// The platform's current list of hosts.
    Hosts(Vec<Host>),
    /// Result of an order to move a host to another pool.
    Transferred {
        /// The order.
        order: Transfer,
        /// The answer, or why the order was not carried out.
        result: Result<(), OrderError>,
    },
    /// Result of a report on the state of a maintenance wave.
    Reported {
        /// Number of the wave.
        wave: u64,
        /// The state that was reported.
        state: WaveState,
        /// Whether the platform has stored it.
        stored: bool,
    },
    /// Result of an order to stop a run.
    Stopped {
        /// The order.
        order: Stop,
        /// The answer, or why the order was not carried out.
        result: Result<(), OrderError>,
    },
}

/// An output of the dispatcher, to be carried out by the owner's term.
#[derive(Debug)]
pub enum Action {
    /// Append records to the log, with retries until they are in it.
    Append {
        /// Id to return in [`Event::Appended`].
        append_id: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Send a heartbeat, which renews an executor's lease and asks what it runs.
    Heartbeat(Heartbeat),
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Ask the advice service which executors may run a step.
    Consult(Consult),
    /// Set a run's pace.
    Pace(Pace),
    /// Take a host down for maintenance.
    Maintain(Maintain),
    /// Move a host to another pool.
    Transfer(Transfer),
    /// Report the state of a maintenance wave to the operators.
    Report {
        /// Number of the wave.
        wave: u64,
        /// State of the wave.
        state: WaveState,
    },
    /// End the term, because another owner has begun one.
    StepDown,
}

/// A request from a gate to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerRequest {
    /// The state of a job.
    State(QueueName, JobId),
    /// Number of jobs in a queue of which no task has started.
    Waiting(QueueName),
    /// Append a job to the log; with the time limit in milliseconds.
    Accept(Job, u64),
    /// Append the cancellation of a job to the log; with the time limit in milliseconds.
    Cancel(JobId, u64),
}

/// The owner's response to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerResponse {
    /// State of the job; `None` if there is no such job in the queue.
    State(Option<JobState>),
    /// Number of waiting jobs.
    Waiting(u64),
    /// The record is in the log.
    Stored,
    /// The record is not in the log and won't be, usually because the log accepts no appends.
    #[serde(rename = "Busy")]
    NotAppended,
    /// The record is not in the log and won't be, because another owner has begun its term.
    Superseded,
    /// Unknown: the log was last read too long ago, or an append has no known outcome. The
    /// dispatcher also answers so if a request needs an append.
    #[serde(rename = "Unsure")]
    Unknown,
}
