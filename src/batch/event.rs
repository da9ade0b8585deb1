//! What an owner learns and what it does.

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
use crate::batch::Stop;
use crate::batch::Transfer;
use crate::batch::WaveState;
use crate::name::QueueName;

/// The time, on the steady clock and by the calendar.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Steady.
    pub at: Instant,
    /// Unix milliseconds.
    pub unix: u64,
}

/// What an owner learns.
#[derive(Debug)]
pub enum Event {
    /// What operators have written.
    Directives(Directives),
    /// All executors that the platform lists.
    Executors(Vec<Executor>),
    /// Records that followed in the log.
    Records {
        /// The records.
        records: Vec<Record>,
        /// More of them are there to read.
        more: bool,
    },
    /// The records of an append are in the log.
    Appended(u64),
    /// The records of a client's call, that this owner appended, are in the log.
    Stored(Vec<Record>),
    /// An executor told what it runs, or didn't.
    HeartbeatAnswered {
        /// The order.
        order: Heartbeat,
        /// When it was sent.
        sent: Instant,
        /// The answer.
        result: Result<Report, OrderError>,
    },
    /// An order to start a task was answered, or not.
    Started {
        /// The order.
        order: Start,
        /// The answer.
        result: Result<(), OrderError>,
    },
    /// The advice service answered, or didn't.
    Advised {
        /// What it was asked.
        question: Consult,
        /// The answer.
        result: Result<Advice, OrderError>,
    },
    /// An order on a run's pace was answered, or not.
    Paced {
        /// The order.
        order: Pace,
        /// The answer.
        result: Result<(), OrderError>,
    },
    /// An order to take a host down was answered, or not.
    Maintained {
        /// The order.
        order: Maintain,
        /// The answer.
        result: Result<(), OrderError>,
    },
    /// All hosts that the platform lists.
    Hosts(Vec<Host>),
    /// An order to move a host was answered, or not.
    Transferred {
        /// The order.
        order: Transfer,
        /// The answer.
        result: Result<(), OrderError>,
    },
    /// Operators were told how far a wave is, or not.
    Reported {
        /// Number of the wave.
        wave: u64,
        /// What they were told.
        state: WaveState,
        /// Whether it is in the store.
        told: bool,
    },
    /// An order to stop a run was answered, or not.
    Stopped {
        /// The order.
        order: Stop,
        /// The answer.
        result: Result<(), OrderError>,
    },
}

/// What an owner does.
#[derive(Debug)]
pub enum Action {
    /// Append records to the log, until they are in it.
    Append {
        /// Number to tell of in [`Event::Appended`].
        append_id: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Ask an executor.
    Heartbeat(Heartbeat),
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Ask the advice service.
    Consult(Consult),
    /// Set a run's pace.
    Pace(Pace),
    /// Take a host down for its upkeep.
    Maintain(Maintain),
    /// Move a host to another pool.
    Transfer(Transfer),
    /// Tell operators how far a wave is.
    Report {
        /// Number of the wave.
        wave: u64,
        /// How far it is.
        state: WaveState,
    },
    /// Give up the term: another owner has begun.
    StepDown,
}

/// What a gate asks an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerRequest {
    /// The state of a job.
    State(QueueName, JobId),
    /// The number of a queue's jobs of which no task has begun.
    Waiting(QueueName),
    /// To append a job to the log, within so many milliseconds.
    Accept(Job, u64),
    /// To append a job's cancellation to the log, within so many milliseconds.
    Cancel(JobId, u64),
}

/// What an owner answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerResponse {
    /// The job's state, if it's known.
    State(Option<JobState>),
    /// The number.
    Waiting(u64),
    /// It is in the log.
    Stored,
    /// It isn't in the log and won't be: the log takes nothing now.
    Busy,
    /// It isn't in the log and won't be: another owner has begun.
    Superseded,
    /// It doesn't know now.
    #[serde(rename = "Unsure")]
    Unknown,
}
