//! The tasks of a follower.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use compio::time::sleep;
use compio::time::timeout_at;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;

use crate::log::AppendError;
use crate::log::Entry;
use crate::log::LogClient;
use crate::log::Page;
use crate::log::ReadError;
use crate::member::AppliedChange;
use crate::member::ChangeError;
use crate::member::SnapshotSearch;
use crate::member::TICK_INTERVAL;
use crate::member::core::Core;
use crate::net::NetEvent;
use crate::observe::unix_millis;
use crate::record::Author;
use crate::record::Change;
use crate::record::Outcome;
use crate::record::Record;
use crate::record::RecordId;
use crate::record::Settled;
use crate::wire::Hello;

/// How long the log may hold a read open.
const POLL_WAIT: Duration = Duration::from_millis(500);

/// How long a request to the log may take.
const REQUEST_LIMIT: Duration = Duration::from_millis(1500);

/// Largest record, in bytes: it fits into a message between processes.
const RECORD_LIMIT: usize = 3 << 20;

/// Most records in one answer of the log.
const POLL_MAX: usize = 500;

/// Shortest and longest pause after a failed request.
const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(500)];

/// How long an append whose answer was lost is looked for.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// How long an append waits for a majority of the voters to know it.
const FORCE_LIMIT: Duration = Duration::from_secs(3);

/// How long the voters that hold a record have to say so again.
const CONFIRM_LIMIT: Duration = Duration::from_secs(1);

/// The tasks' common part.
pub(super) struct Tasks {
    pub(super) me: Hello,
    pub(super) log: LogClient,
    pub(super) logger: Logger,
    pub(super) core: RefCell<Core>,
}

impl Tasks {
    pub(super) async fn poll(self: Rc<Self>) {
        let mut pause = BACKOFF[0];
        loop {
            match self.poll_once().await {
                Ok(()) => pause = BACKOFF[0],
                Err(err) => {
                    debug!(self.logger, "log not read"; "error" => %err);
                    sleep(pause).await;
                    pause = (pause * 2).min(BACKOFF[1]);
                }
            }
        }
    }

    async fn poll_once(&self) -> Result<(), ReadError> {
        let asked = Instant::now();
        let from = self.core.borrow().replica.state().offset;
        let page = match self.read(from, POLL_WAIT).await {
            Ok(page) => page,
            Err(ReadError::Gone(first, head)) => return self.restart(first, head).await,
            Err(err) => return Err(err),
        };
        let mut core = self.core.borrow_mut();
        let now = Instant::now();
        core.replica.apply(now, page.entries.into_iter().map(raw));
        core.replica.set_log_start(page.first);
        core.replica.observe_head(now, asked, page.head);
        core.publish();
        Ok(())
    }

    async fn read(&self, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let deadline = Instant::now() + REQUEST_LIMIT;
        self.log.read(from, POLL_MAX, wait, deadline).await
    }

    /// Starts from the first usable snapshot that the log still holds.
    async fn restart(&self, first: u64, head: u64) -> Result<(), ReadError> {
        info!(self.logger, "records expired, looking for a snapshot"; "first" => first, "head" => head);
        let (mut from, mut search) = (first, SnapshotSearch::default());
        while from < head {
            let page = self.read(from, Duration::ZERO).await?;
            let Some(last) = page.entries.last() else {
                break;
            };
            from = last.offset + 1;
            let found = page
                .entries
                .into_iter()
                .find_map(|entry| search.feed(entry));
            if let Some(state) = found {
                let mut core = self.core.borrow_mut();
                core.replica.install_state(Instant::now(), state);
                core.publish();
                return Ok(());
            }
        }
        warn!(self.logger, "no snapshot in the log"; "first" => first, "head" => head);
        Err(ReadError::Gone(first, head))
    }

    pub(super) async fn listen(self: Rc<Self>, mut events: UnboundedReceiver<NetEvent>) {
        while let Some(event) = events.next().await {
            let mut core = self.core.borrow_mut();
            match event {
                NetEvent::Up { link } => core.up(link),
                NetEvent::Down { link } => drop(core.links.remove(&link)),
                NetEvent::Message { link, message } => core.receive(&link, message, &self.me),
            }
            core.publish();
        }
    }

    pub(super) async fn tick(self: Rc<Self>) {
        loop {
            let (due, reports) = {
                let mut core = self.core.borrow_mut();
                core.probe_in_time();
                core.take_notes();
                (core.start_snapshot(), core.start_reports())
            };
            if !reports.is_empty() {
                let tasks = Rc::clone(&self);
                spawn(async move { tasks.report(reports).await }).detach();
            }
            if let Some(bytes) = due {
                let tasks = Rc::clone(&self);
                spawn(async move { tasks.snap(bytes).await }).detach();
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Appends reports of silent members until one fails; those that still hold come again.
    async fn report(&self, reports: Vec<Change>) {
        for report in reports {
            info!(self.logger, "reporting a member"; "report" => ?report);
            if let Err(err) = self.settle(self.record(None, report)).await {
                warn!(self.logger, "report not appended"; "error" => %err);
                break;
            }
        }
        self.core.borrow_mut().reporting = false;
    }

    async fn snap(&self, bytes: Vec<u8>) {
        let record = self.record(None, Change::Snapshot(bytes));
        let settled = self.settle(record).await;
        debug!(self.logger, "snapshot appended"; "result" => ?settled);
        self.core.borrow_mut().snapping = false;
    }

    pub(super) async fn append(
        &self,
        base: Option<u64>,
        change: Change,
    ) -> Result<AppliedChange, ChangeError> {
        self.append_record(self.record(base, change)).await
    }

    fn record(&self, base: Option<u64>, change: Change) -> Record {
        Record {
            id: RecordId::random(),
            base,
            author: Author::Node(self.me.node.clone()),
            at: unix_millis(),
            change,
        }
    }

    pub(super) async fn append_record(&self, record: Record) -> Result<AppliedChange, ChangeError> {
        let known = self.core.borrow().find(record.id);
        if let Some(known) = known {
            return Ok(self.repeated(known).await);
        }
        let settled = self.settle(record).await?;
        Ok(self.applied(settled).await)
    }

    /// Appends a record whose id is new, and waits until it is folded here.
    async fn settle(&self, record: Record) -> Result<Settled, ChangeError> {
        let (id, data) = (record.id, record.encode());
        if data.len() > RECORD_LIMIT {
            let why = format!(
                "a record of {} bytes, at most {RECORD_LIMIT} fit",
                data.len()
            );
            return Err(ChangeError::NotAppended(why));
        }
        let deadline = Instant::now() + SETTLE_LIMIT;
        let answer = self
            .log
            .append(data.clone(), Instant::now() + REQUEST_LIMIT);
        let offset = match answer.await {
            Ok(offset) => Some(offset),
            Err(AppendError::NotAppended(why)) => return Err(ChangeError::NotAppended(why)),
            Err(err @ AppendError::Fenced) => {
                return Err(ChangeError::NotAppended(err.to_string()));
            }
            Err(AppendError::Unknown(why)) => {
                info!(self.logger, "append unsettled"; "id" => %id, "why" => why);
                None
            }
        };
        if let Some(offset) = offset {
            self.core.borrow_mut().push(offset, data.clone());
        }
        let settled = self.wait_for(deadline, |core| core.find(id)).await;
        let settled = settled.ok_or(ChangeError::Unknown(id))?;
        if offset.is_none() && settled.result.is_ok() {
            self.core.borrow_mut().push(settled.offset, data);
        }
        Ok(settled)
    }

    async fn repeated(&self, known: Settled) -> AppliedChange {
        let in_force = known.result.is_ok() && self.enforce(known.offset).await;
        let outcome = Outcome::Repeated {
            offset: known.offset,
            first: known.result,
        };
        AppliedChange { outcome, in_force }
    }

    async fn applied(&self, settled: Settled) -> AppliedChange {
        let Settled { offset, result, .. } = settled;
        let in_force = result.is_ok() && self.enforce(offset).await;
        AppliedChange {
            outcome: Outcome::from(result),
            in_force,
        }
    }

    /// Waits until the record at `offset` is in force; false if that can't be known in time.
    async fn enforce(&self, offset: u64) -> bool {
        let deadline = Instant::now() + FORCE_LIMIT;
        while Instant::now() < deadline {
            if self.confirm(offset, deadline).await {
                return true;
            }
        }
        false
    }

    /// Waits for a majority that holds the record, and then for its word once more.
    async fn confirm(&self, offset: u64, deadline: Instant) -> bool {
        let holders = |core: &Core| core.replica.holders(offset);
        let Some(holders) = self.wait_for(deadline, holders).await else {
            return false;
        };
        let since = Instant::now();
        self.core.borrow_mut().probe();
        let confirmed = |core: &Core| core.replica.has_confirmed(&holders, since).then_some(());
        let round = deadline.min(since + CONFIRM_LIMIT);
        self.wait_for(round, confirmed).await.is_some()
    }

    async fn wait_for<T>(
        &self,
        deadline: Instant,
        found: impl Fn(&Core) -> Option<T>,
    ) -> Option<T> {
        loop {
            let changed = {
                let mut core = self.core.borrow_mut();
                if let Some(value) = found(&core) {
                    return Some(value);
                }
                core.wait()
            };
            timeout_at(deadline, changed).await.ok()?.ok()?;
        }
    }
}

fn raw(entry: Entry) -> (u64, Vec<u8>) {
    (entry.offset, entry.data)
}
