//! Interface to the platform: log, election, hosts, executors and operators.

use std::net::SocketAddr;
use std::time::Instant;

use quick_error::quick_error;

use crate::batch::Advice;
use crate::batch::Consult;
use crate::batch::Directives;
use crate::batch::Executor;
use crate::batch::Fence;
use crate::batch::Heartbeat;
use crate::batch::Host;
use crate::batch::Maintain;
use crate::batch::OrderError;
use crate::batch::Pace;
use crate::batch::Report;
use crate::batch::Start;
use crate::batch::StartAnswer;
use crate::batch::Stop;
use crate::batch::Transfer;
use crate::batch::WaveState;
use crate::log::AppendError;
use crate::log::ReadError;

quick_error! {
    /// The platform gave no usable answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Unreachable {
        /// What went wrong.
        Reason(why: String) {
            display("{}", why)
        }
    }
}

/// One of the streams of records in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Written by the owner only; a process that begins to write to it fences all earlier ones.
    Owner,
    /// Written by gates that can't reach the owner, each under its own producer name.
    Gates,
}

/// Identifies an append. The log refuses appends with a lower fence under the same producer name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Writer {
    /// Fencing token of the writer; the number of the term if the owner writes.
    pub fence: Fence,
    /// Sequence number of the append, from 0 on. A retry has the same number.
    pub sequence: u64,
}

/// A batch of records read from the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Offset after the last record of the batch.
    pub next: u64,
    /// Offset after the last record of the stream.
    pub end: u64,
    /// Encoded records, in the order of the log.
    pub records: Vec<Vec<u8>>,
}

/// Result of joining the election of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Membership {
    /// Increases with each change of the members or of the owner.
    pub generation: u64,
    /// Whether this process is the owner.
    pub leads: bool,
}

/// A value of the platform that can be watched for changes.
#[allow(async_fn_in_trait)]
pub trait Watch<T> {
    /// Waits a while for a change. Gives the new value, or `None` if there was confirmed to be no
    /// change.
    ///
    /// # Errors
    /// [`Unreachable`] if the platform confirmed neither.
    async fn next(&mut self) -> Result<Option<T>, Unreachable>;
}

/// Operations of the platform that the batch module depends on.
#[allow(async_fn_in_trait)]
pub trait Platform: 'static {
    /// Watch on the operators' directives.
    type Directives: Watch<Directives>;
    /// Watch on the list of executors.
    type Executors: Watch<Vec<Executor>>;

    /// Begins to watch the operators' directives.
    fn directives(&self) -> Self::Directives;

    /// Begins to watch the list of executors.
    fn executors(&self) -> Self::Executors;

    /// Appends records to a stream atomically; returns the offset of the first.
    ///
    /// # Errors
    /// An [`AppendError`], by which the records are not in the log or may be in it.
    async fn append(
        &self,
        stream: Stream,
        records: &[Vec<u8>],
        writer: Writer,
        deadline: Instant,
    ) -> Result<u64, AppendError>;

    /// Reads a stream from offset `from` on. If it has no record there yet, waits for one for up to
    /// `wait` milliseconds.
    ///
    /// # Errors
    /// A [`ReadError`] if the records have expired or the log can't be reached.
    async fn read(&self, stream: Stream, from: u64, wait: u64) -> Result<LogBatch, ReadError>;

    /// Joins the election or renews the membership; `generation` is that of the last answer, or 0.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn join(&self, generation: u64) -> Result<Membership, Unreachable>;

    /// Leaves the election, so that another process can become the owner without a timeout.
    async fn leave(&self);

    /// Whether a strong process takes part in the election.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn has_strong_candidate(&self) -> Result<bool, Unreachable>;

    /// Address of the process that is the owner, if there is one.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn owner(&self) -> Result<Option<SocketAddr>, Unreachable>;

    /// Sends a heartbeat, which renews an executor's lease and asks what it runs.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn heartbeat(&self, order: &Heartbeat) -> Result<Report, OrderError>;

    /// Starts a task.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn start(&self, order: &Start) -> Result<StartAnswer, OrderError>;

    /// Asks the advice service which executors may run a step.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn consult(&self, question: &Consult) -> Result<Advice, OrderError>;

    /// Sets a run's pace.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn pace(&self, order: &Pace) -> Result<(), OrderError>;

    /// Longest lease that an executor grants, in milliseconds on its clock.
    fn lease_limit(&self) -> u64;

    /// Whether hosts are divided between services that together need more than there are.
    fn divides_hosts(&self) -> bool;

    /// Maximum time until an executor has stopped a run, in milliseconds; includes the time that
    /// orders are in transit.
    fn stop_time(&self) -> u64;

    /// Maximum size of a log record, in bytes.
    fn record_limit(&self) -> usize;

    /// How long the log keeps a record, in milliseconds.
    fn retention(&self) -> u64;

    /// Lists all hosts.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn hosts(&self) -> Result<Vec<Host>, Unreachable>;

    /// Moves a host to another pool.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn transfer(&self, order: &Transfer) -> Result<(), OrderError>;

    /// Takes a host down for maintenance.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn maintain(&self, order: &Maintain) -> Result<(), OrderError>;

    /// Reports the state of a maintenance wave to the operators.
    ///
    /// # Errors
    /// An [`AppendError`].
    async fn report(&self, wave: u64, state: WaveState) -> Result<(), AppendError>;

    /// Stops a run.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn stop(&self, order: &Stop) -> Result<(), OrderError>;
}
