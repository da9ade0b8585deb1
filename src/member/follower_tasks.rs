//! Tasks that keep the local replica up to date and append records.

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
use crate::member::follower_core::FollowerCore;
use crate::net::NetEvent;
use crate::observe::unix_millis;
use crate::record::Author;
use crate::record::Change;
use crate::record::Outcome;
use crate::record::Record;
use crate::record::RecordId;
use crate::record::Settled;
use crate::wire::Hello;

/// Maximum time that the log delays the reply to a read until there is a record (long poll).
const POLL_WAIT: Duration = Duration::from_millis(500);

/// Maximum time for one request to the log.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum size of a record, in bytes, so that it fits into a message between processes.
const MAX_RECORD_BYTES: usize = 3 << 20;

/// Maximum number of records in one reply of the log.
const MAX_POLL_RECORDS: usize = 500;

/// Shortest and longest delay after a failed read; each failure doubles it.
const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(500)];

/// Maximum time from an append to the application of its record here, which also settles an
/// append that went unanswered.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that an append waits for its record to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time for the voters that have applied a record to reply to one more probe.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Data shared by the tasks of a follower.
pub(super) struct FollowerTasks {
    pub(super) me: Hello,
    pub(super) log: LogClient,
    pub(super) logger: Logger,
    pub(super) core: RefCell<FollowerCore>,
}

impl FollowerTasks {
    pub(super) async fn poll_log(self: Rc<Self>) {
        let mut pause = BACKOFF[0];
        loop {
            match self.poll_once().await {
                Ok(()) => pause = BACKOFF[0],
                Err(err) => {
                    debug!(self.logger, "log read failed, retrying"; "error" => %err);
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
            Err(ReadError::Gone(first, head)) => return self.restore_snapshot(first, head).await,
            Err(err) => return Err(err),
        };
        let mut core = self.core.borrow_mut();
        let now = Instant::now();
        core.replica
            .apply(now, page.entries.into_iter().map(into_record));
        core.replica.set_log_start(page.first);
        core.replica.observe_head(now, asked, page.head);
        core.publish();
        Ok(())
    }

    async fn read(&self, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        self.log.read(from, MAX_POLL_RECORDS, wait, deadline).await
    }

    /// Restores the state from the first valid snapshot that the log still holds.
    async fn restore_snapshot(&self, first: u64, head: u64) -> Result<(), ReadError> {
        info!(self.logger, "records expired, searching for a snapshot"; "first" => first, "head" => head);
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
        warn!(self.logger, "no valid snapshot in the log, retrying"; "first" => first, "head" => head);
        Err(ReadError::Gone(first, head))
    }

    pub(super) async fn handle_events(self: Rc<Self>, mut events: UnboundedReceiver<NetEvent>) {
        while let Some(event) = events.next().await {
            let mut core = self.core.borrow_mut();
            match event {
                NetEvent::Up { link } => core.add_link(link),
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
                core.probe_if_due();
                core.record_notes();
                (core.start_snapshot(), core.start_reports())
            };
            if !reports.is_empty() {
                let tasks = Rc::clone(&self);
                spawn(async move { tasks.append_reports(reports).await }).detach();
            }
            if let Some(bytes) = due {
                let tasks = Rc::clone(&self);
                spawn(async move { tasks.append_snapshot(bytes).await }).detach();
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Appends reports of the failure detector until one fails. The detector repeats the remaining
    /// ones that still hold.
    async fn append_reports(&self, reports: Vec<Change>) {
        for report in reports {
            info!(self.logger, "appending a failure detector report"; "report" => ?report);
            if let Err(err) = self.append_and_apply(self.new_record(None, report)).await {
                warn!(self.logger, "failure detector report not appended"; "error" => %err);
                break;
            }
        }
        self.core.borrow_mut().appending_reports = false;
    }

    async fn append_snapshot(&self, bytes: Vec<u8>) {
        let record = self.new_record(None, Change::Snapshot(bytes));
        let settled = self.append_and_apply(record).await;
        debug!(self.logger, "append of a snapshot finished"; "result" => ?settled);
        self.core.borrow_mut().appending_snapshot = false;
    }

    pub(super) async fn append(
        &self,
        base: Option<u64>,
        change: Change,
    ) -> Result<AppliedChange, ChangeError> {
        self.append_record(self.new_record(base, change)).await
    }

    fn new_record(&self, base: Option<u64>, change: Change) -> Record {
        Record {
            id: RecordId::random(),
            base,
            author: Author::Node(self.me.node.clone()),
            at: unix_millis(),
            change,
        }
    }

    pub(super) async fn append_record(&self, record: Record) -> Result<AppliedChange, ChangeError> {
        let known = self.core.borrow().find_record(record.id);
        if let Some(known) = known {
            return Ok(self.repeated(known).await);
        }
        let settled = self.append_and_apply(record).await?;
        Ok(self.applied(settled).await)
    }

    /// Appends a record with a new id, and waits until it is applied here.
    async fn append_and_apply(&self, record: Record) -> Result<Settled, ChangeError> {
        let (id, data) = (record.id, record.encode());
        if data.len() > MAX_RECORD_BYTES {
            let why = format!(
                "a record of {} bytes, at most {MAX_RECORD_BYTES} fit",
                data.len()
            );
            return Err(ChangeError::NotAppended(why));
        }
        let deadline = Instant::now() + APPLY_TIMEOUT;
        let answer = self
            .log
            .append(data.clone(), Instant::now() + REQUEST_TIMEOUT);
        let offset = match answer.await {
            Ok(offset) => Some(offset),
            Err(AppendError::NotAppended(why)) => return Err(ChangeError::NotAppended(why)),
            Err(err @ AppendError::Fenced) => {
                return Err(ChangeError::NotAppended(err.to_string()));
            }
            Err(AppendError::Unknown(why)) => {
                info!(self.logger, "append unanswered, awaiting record"; "id" => %id, "why" => why);
                None
            }
        };
        if let Some(offset) = offset {
            self.core.borrow_mut().apply_appended(offset, data.clone());
        }
        let settled = self.wait_for(deadline, |core| core.find_record(id)).await;
        let settled = settled.ok_or(ChangeError::Unknown(id))?;
        if offset.is_none() && settled.result.is_ok() {
            self.core.borrow_mut().apply_appended(settled.offset, data);
        }
        Ok(settled)
    }

    async fn repeated(&self, known: Settled) -> AppliedChange {
        let in_force = known.result.is_ok() && self.wait_in_force(known.offset).await;
        let outcome = Outcome::Repeated {
            offset: known.offset,
            first: known.result,
        };
        AppliedChange { outcome, in_force }
    }

    async fn applied(&self, settled: Settled) -> AppliedChange {
        let Settled { offset, result, .. } = settled;
        let in_force = result.is_ok() && self.wait_in_force(offset).await;
        AppliedChange {
            outcome: Outcome::from(result),
            in_force,
        }
    }

    /// Waits until the record at `offset` is in force. Returns false if that could not be
    /// confirmed in time.
    async fn wait_in_force(&self, offset: u64) -> bool {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        while Instant::now() < deadline {
            if self.confirm(offset, deadline).await {
                return true;
            }
        }
        false
    }

    /// Waits until a majority of the voters have applied the record, and then until they have
    /// replied to one more probe.
    async fn confirm(&self, offset: u64, deadline: Instant) -> bool {
        let holders = |core: &FollowerCore| core.replica.holders(offset);
        let Some(holders) = self.wait_for(deadline, holders).await else {
            return false;
        };
        let since = Instant::now();
        self.core.borrow_mut().probe();
        let confirmed =
            |core: &FollowerCore| core.replica.has_confirmed(&holders, since).then_some(());
        let round_end = deadline.min(since + CONFIRM_TIMEOUT);
        self.wait_for(round_end, confirmed).await.is_some()
    }

    async fn wait_for<T>(
        &self,
        deadline: Instant,
        check: impl Fn(&FollowerCore) -> Option<T>,
    ) -> Option<T> {
        loop {
            let changed = {
                let mut core = self.core.borrow_mut();
                if let Some(value) = check(&core) {
                    return Some(value);
                }
                core.wait_for_publish()
            };
            timeout_at(deadline, changed).await.ok()?.ok()?;
        }
    }
}

fn into_record(entry: Entry) -> (u64, Vec<u8>) {
    (entry.offset, entry.data)
}
