//! What the decisions on jobs need of the platform below.

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
use crate::batch::Stop;
use crate::batch::Transfer;
use crate::batch::WaveState;
use crate::log::AppendError;
use crate::log::ReadError;

quick_error! {
    /// The platform's store gave no answer that can be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Unreachable {
        /// Why.
        Reason(why: String) {
            display("{}", why)
        }
    }
}

/// One of the log's streams of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Written by the owner alone; each process that writes to it shuts the earlier ones out.
    Owner,
    /// Written by gates that can't reach the owner, each under a name of its own.
    Gates,
}

/// The writer of records; the log refuses those of earlier writers of the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Writer {
    /// Number of the writer, as of an owner's term.
    pub fence: Fence,
    /// Number of the append, from 0 on; a repeat has the same.
    pub sequence: u64,
}

/// Records that were read from the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Offset behind the last of them.
    pub next: u64,
    /// Offset behind the last record of the log.
    pub end: u64,
    /// Their bytes, in order.
    pub records: Vec<Vec<u8>>,
}

/// A process's part in the election of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Membership {
    /// Rises with each change of the members or of the owner.
    pub generation: u64,
    /// This process is the owner.
    pub leads: bool,
}

/// Something that changes and that the platform tells of.
#[allow(async_fn_in_trait)]
pub trait Watch<T> {
    /// Waits a while for a change: the new value, or `None` if it is confirmed that there was none.
    ///
    /// # Errors
    /// [`Unreachable`] if nothing could be confirmed.
    async fn next(&mut self) -> Result<Option<T>, Unreachable>;
}

/// The platform: its log, its election, and the executors.
#[allow(async_fn_in_trait)]
pub trait Platform: 'static {
    /// Tells of what operators write.
    type Directives: Watch<Directives>;
    /// Tells of the executors.
    type Executors: Watch<Vec<Executor>>;

    /// Watches what operators write.
    fn directives(&self) -> Self::Directives;

    /// Watches the list of executors.
    fn executors(&self) -> Self::Executors;

    /// Appends records to a stream, all or none; gives the offset of the first.
    ///
    /// # Errors
    /// An [`AppendError`] that tells whether the records may be in the log.
    async fn append(
        &self,
        stream: Stream,
        records: &[Vec<u8>],
        writer: Writer,
        deadline: Instant,
    ) -> Result<u64, AppendError>;

    /// Reads a stream from offset `from` on, and waits up to `wait` milliseconds for a record.
    ///
    /// # Errors
    /// A [`ReadError`] if the records are gone or the log can't be reached.
    async fn read(&self, stream: Stream, from: u64, wait: u64) -> Result<LogBatch, ReadError>;

    /// Joins the election, or stays in it; `generation` is the last one that was told, or 0.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn join(&self, generation: u64) -> Result<Membership, Unreachable>;

    /// Leaves the election, so that another process becomes the owner at once.
    async fn leave(&self);

    /// Whether a strong process takes part in the election.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn has_strong_candidate(&self) -> Result<bool, Unreachable>;

    /// Address of the owner's process, if there is one.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn owner(&self) -> Result<Option<SocketAddr>, Unreachable>;

    /// Renews an executor's lease and asks what it runs.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn heartbeat(&self, order: &Heartbeat) -> Result<Report, OrderError>;

    /// Starts a task.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn start(&self, order: &Start) -> Result<(), OrderError>;

    /// Asks which executors may run a step.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn consult(&self, question: &Consult) -> Result<Advice, OrderError>;

    /// Sets a run's pace.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn pace(&self, order: &Pace) -> Result<(), OrderError>;

    /// How long an executor may take to stop a run, orders on their way included, in milliseconds.
    fn stop_time(&self) -> u64;

    /// Largest record of the log, in bytes.
    fn record_limit(&self) -> usize;

    /// How long the log keeps a record, in milliseconds.
    fn retention(&self) -> u64;

    /// All hosts.
    ///
    /// # Errors
    /// [`Unreachable`] if there was no answer.
    async fn hosts(&self) -> Result<Vec<Host>, Unreachable>;

    /// Moves a host to another pool.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn transfer(&self, order: &Transfer) -> Result<(), OrderError>;

    /// Takes a host down for its upkeep.
    ///
    /// # Errors
    /// An [`OrderError`].
    async fn maintain(&self, order: &Maintain) -> Result<(), OrderError>;

    /// Tells operators how far a wave is.
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
