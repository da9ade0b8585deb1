//! State of one executor, as far as the owner knows it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Executor;
use crate::batch::Fence;
use crate::batch::Obstacle;
use crate::batch::Partitions;
use crate::batch::Resources;
use crate::batch::Target;
use crate::batch::TaskId;
use crate::batch::assignment::Assignment;
use crate::batch::end_numbers::EndNumbers;
use crate::batch::heartbeat_state::HeartbeatState;
use crate::batch::in_flight::OVERDUE_MS;
use crate::batch::leases::LATEST_ORDER_MS;
use crate::batch::leases::Leases;
use crate::batch::leases::SUCCESSION_MS;
use crate::batch::process_watch::ProcessWatch;
use crate::batch::run_state::Phase;
use crate::batch::run_state::RunState;
use crate::batch::unconfirmed_entry::UnconfirmedEntry;
use crate::name::ExecutorId;
use crate::name::ServiceName;

/// An executor, its leases and its runs.
#[derive(Debug)]
pub struct ExecutorState {
    /// Service whose tasks it can run.
    pub service: ServiceName,
    /// Partition that it belongs to.
    pub partition: Partitions,
    /// Its host is not to be moved, drained or taken down, and its data centre is not closed.
    pub usable: bool,
    /// Its host is due for maintenance.
    pub due: bool,
    /// Address that orders are sent to.
    pub addr: SocketAddr,
    /// Fencing token of orders to its process.
    pub token: Fence,
    /// When it was last found to have restarted.
    pub restarted: Option<Instant>,
    /// When its process started, in Unix milliseconds, once that is known. A new value means that
    /// it has restarted.
    pub born: Option<u64>,
    /// `born` is from its own report, not only from the platform's list.
    pub born_reported: bool,
    /// Its entry in the platform's list; `None` while it is not listed.
    pub info: Option<Rc<Executor>>,
    /// A listed entry that it has not confirmed, and that is therefore not in `info`.
    pub unconfirmed: Option<UnconfirmedEntry>,
    /// It may be given work only while this is `Recorded`.
    pub assignment: Assignment,
    /// It has reported its runs to this owner, and has not restarted or been unassigned since.
    pub reported: bool,
    /// No run of an earlier owner can be there that this owner does not know of.
    pub runs_known: bool,
    /// The last heartbeat failed.
    pub heartbeat_failed: bool,
    /// Number of heartbeats in a row that failed.
    pub missed: u32,
    /// The wait for it is recorded in the log, so it must be assigned again before it is given
    /// work.
    pub wait_recorded: bool,
    /// Start time of the process that an order for its host has ended, in Unix milliseconds.
    pub retired: Option<u64>,
    /// When the oldest unanswered order to start was sent. Cleared by an answer to any of them, or
    /// to a heartbeat sent later.
    pub unanswered_since: Option<Instant>,
    /// It gets no new work before this time.
    pub backoff_until: Option<Instant>,
    /// Its process.
    pub process: ProcessWatch,
    /// Its leases.
    pub leases: Leases,
    /// When its next heartbeat is due.
    pub heartbeat: HeartbeatState,
    /// Numbers of its run ends.
    pub ends: EndNumbers,
    /// Orders to start that it has not answered, and when they were sent.
    pub unanswered: BTreeMap<(TaskId, u64), Instant>,
    /// Runs by task and number.
    pub runs: BTreeMap<(TaskId, u64), RunState>,
    /// Resources that its runs take.
    pub used: Resources,
    /// Number of runs of long-running tasks.
    pub long_running: usize,
}

impl ExecutorState {
    /// Creates the state of a newly listed executor, which no owner has given work.
    #[must_use]
    pub fn listed(info: Executor, token: Fence, now: Instant) -> Self {
        let partition = Partitions::of(&info.id);
        Self {
            born: Some(info.born),
            runs_known: true,
            assignment: Assignment::None,
            ..Self::inherited(info.service.clone(), info.addr, partition, token, now)
        }
        .with_info(info)
    }

    /// Creates the state of an executor to which earlier owners may have given work before `now`.
    #[must_use]
    pub fn inherited(
        service: ServiceName,
        addr: SocketAddr,
        partition: Partitions,
        token: Fence,
        now: Instant,
    ) -> Self {
        Self {
            service,
            partition,
            usable: false,
            due: false,
            addr,
            token,
            restarted: None,
            born: None,
            born_reported: false,
            info: None,
            unconfirmed: None,
            assignment: Assignment::Recorded,
            reported: false,
            runs_known: false,
            heartbeat_failed: false,
            missed: 0,
            wait_recorded: false,
            retired: None,
            unanswered_since: None,
            backoff_until: None,
            process: ProcessWatch::default(),
            leases: Leases::inherited(now),
            heartbeat: HeartbeatState::Due(now),
            ends: EndNumbers::default(),
            unanswered: BTreeMap::new(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            long_running: 0,
        }
    }

    fn with_info(mut self, info: Executor) -> Self {
        self.info = Some(Rc::new(info));
        self
    }

    /// The target of an order to its process.
    #[must_use]
    pub fn target(&self, id: &ExecutorId) -> Target {
        Target {
            executor: id.clone(),
            addr: self.addr,
            token: self.token,
            born: self.born.filter(|_| self.born_reported),
            certain: self.process.certain(),
        }
    }

    /// Whether an entry states a later start or another address than is known, and there may be
    /// something to lose if that is not true.
    #[must_use]
    pub fn is_contradicted_by(&self, listed: &Executor) -> bool {
        let restarted = self.born.is_some_and(|born| listed.born > born);
        let differs = restarted || listed.addr != self.addr;
        differs && !self.is_empty() && !self.is_retired()
    }

    /// Applies its entry; returns whether its address has changed.
    pub fn set_info(&mut self, info: Rc<Executor>) -> bool {
        let moved = self.addr != info.addr;
        if moved {
            // What is still on its way arrives at the address before.
            self.unanswered.clear();
        }
        self.addr = info.addr;
        self.service = info.service.clone();
        self.info = Some(info);
        self.unconfirmed = None;
        moved
    }

    /// Whether the next heartbeat is to confirm an entry.
    #[must_use]
    pub fn is_confirmation_due(&self) -> bool {
        self.unconfirmed.as_ref().is_some_and(|entry| entry.due)
    }

    /// Address that the next heartbeat goes to.
    #[must_use]
    pub fn heartbeat_addr(&self) -> SocketAddr {
        let due = self.unconfirmed.as_ref().filter(|entry| entry.due);
        due.map_or(self.addr, |entry| entry.info.addr)
    }

    /// Notes an answer from `addr` of a process that started at `born`, if it states its start.
    /// Returns the entry that it confirms, if any.
    pub fn confirm_entry(&mut self, addr: SocketAddr, born: Option<u64>) -> Option<Rc<Executor>> {
        let entry = self.unconfirmed.as_mut()?;
        entry.due = false;
        let moved = addr != self.addr;
        let started = born.is_none_or(|born| born == entry.info.born);
        let confirmed = addr == entry.info.addr && (moved || started);
        confirmed.then(|| entry.info.clone())
    }

    /// Notes that a heartbeat to `addr` failed: the next one goes to the other address, if there
    /// are two. Returns whether that one is the address known before.
    pub fn swap_address(&mut self, addr: SocketAddr) -> bool {
        let known = self.addr;
        let Some(entry) = &mut self.unconfirmed else {
            return false;
        };
        entry.due = addr == known;
        !entry.due
    }

    /// Returns the end on its clock, in milliseconds, of a lease of `lease` milliseconds that begins
    /// at `now`; `None` before its first report. The lease is never longer on its clock, whatever the
    /// clock's rate: its clock shows at least the time reckoned here.
    #[must_use]
    pub fn deadline(&self, now: Instant, lease: u64) -> Option<u64> {
        let clock = self.process.clock?.reached(now);
        Some(clock.saturating_add(lease))
    }

    /// Whether it answered so recently that it can't have restarted since.
    #[must_use]
    pub fn is_verified(&self, now: Instant) -> bool {
        self.process.is_verified(now, self.heartbeat.sent_at())
    }

    /// Asks it whether it has restarted, before it is given work.
    pub fn ask(&mut self, now: Instant) {
        self.process.asked.get_or_insert(now);
        if !matches!(self.heartbeat, HeartbeatState::Sent(_)) {
            self.heartbeat = HeartbeatState::Due(now);
        }
    }

    /// Whether it can be given work now.
    #[must_use]
    pub fn can_take_work(&self, now: Instant) -> bool {
        self.obstacle(now).is_none()
    }

    /// Why it can't be given work now; `None` if it can.
    #[must_use]
    pub fn obstacle(&self, now: Instant) -> Option<Obstacle> {
        let backing_off = self.backoff_until.is_some_and(|until| now < until);
        let draining = self.info.as_ref().is_some_and(|info| info.draining);
        let obstacles = [
            (self.info.is_none(), Obstacle::Unlisted),
            (draining, Obstacle::Draining),
            (!self.usable, Obstacle::Unusable),
            (self.is_retired(), Obstacle::Retired),
            (
                self.assignment != Assignment::Recorded,
                Obstacle::Unassigned,
            ),
            (!self.reported, Obstacle::Unreported),
            (self.heartbeat_failed, Obstacle::Silent),
            (self.is_confirmation_due(), Obstacle::Unconfirmed),
            (backing_off, Obstacle::BackingOff),
            (self.leases.are_long(now), Obstacle::LongLease),
            (self.is_overdue(now), Obstacle::Overdue),
        ];
        let found = obstacles.into_iter().find(|(applies, _)| *applies);
        found.map(|(_, obstacle)| obstacle)
    }

    /// Returns when its runs are expected to have ended.
    #[must_use]
    pub fn expected_end(&self, now: Instant) -> Instant {
        let ends = self.runs.values().map(|run| run.expected_end(now));
        ends.max().unwrap_or(now)
    }

    /// Whether an order to start, or a heartbeat that work waits for, is overdue for an answer.
    fn is_overdue(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(OVERDUE_MS);
        let waiting = [self.unanswered_since, self.process.asked]
            .into_iter()
            .flatten();
        waiting.min().is_some_and(|since| now >= since + limit)
    }

    /// Whether an order has ended it and it has not started again.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retired.is_some() && self.retired >= self.born
    }

    /// Continues the wait of earlier owners, of which `waited` milliseconds are recorded in the
    /// log.
    pub fn resume_wait(&mut self, waited: u64) {
        self.wait_recorded = true;
        self.leases.expires -= Duration::from_millis(waited.min(SUCCESSION_MS));
    }

    /// Whether there is a reason to send it a heartbeat.
    #[must_use]
    pub fn is_heartbeat_needed(&self) -> bool {
        let pending = matches!(self.assignment, Assignment::Pending(_));
        let known = !pending && !self.is_retired();
        let has_ends = !self.ends.are_logged();
        let unsettled = !self.reported || !self.runs.is_empty() || has_ends;
        known && (unsettled || self.process.asked.is_some())
    }

    /// Whether it may have runs of an earlier owner that this owner does not know of.
    #[must_use]
    pub const fn has_unknown_runs(&self) -> bool {
        !self.runs_known
    }

    /// Whether all runs on it are known.
    #[must_use]
    pub fn is_load_known(&self) -> bool {
        let given_up = self.assignment == Assignment::None;
        self.runs_known && (self.reported || given_up)
    }

    /// Returns the time for which owners have waited for it without giving it work, in
    /// milliseconds. Meaningful only while it has unknown runs.
    #[must_use]
    pub fn waited(&self, now: Instant) -> u64 {
        let left = self
            .leases
            .expires
            .saturating_duration_since(now)
            .as_millis();
        SUCCESSION_MS.saturating_sub(left as u64)
    }

    /// Notes that nothing runs there any more and that its release is being recorded. It must be
    /// assigned again before it is given work.
    pub const fn unassign(&mut self) {
        self.runs_known = true;
        self.reported = false;
        self.wait_recorded = false;
        self.ends.give_up();
        self.assignment = Assignment::None;
    }

    /// Forgets the starts without an answer that are not carried out any more. The others may be, by
    /// whichever process takes orders at its address.
    pub fn expire_starts(&mut self, now: Instant) {
        let limit = Duration::from_millis(LATEST_ORDER_MS);
        self.unanswered.retain(|_, sent| now < *sent + limit);
    }

    /// Returns the number of the last end that the next heartbeat is to acknowledge; 0 for none. Another
    /// process that took the heartbeat would forget ends of its own that it hasn't reported. It has
    /// some only if it took a start as well, so none is acknowledged while one is overdue for an answer
    /// that no report has settled.
    #[must_use]
    pub fn acknowledgement(&self, now: Instant) -> u64 {
        let answers = !self.heartbeat_failed && !self.is_confirmation_due();
        let is_pending = answers && self.ends.acked > self.ends.released;
        let Some(last) = self.process.clock.filter(|_| is_pending) else {
            return 0;
        };
        let limit = Duration::from_millis(OVERDUE_MS);
        let is_open = |sent: Instant| sent >= last.sent && now >= sent + limit;
        if self.unanswered.values().any(|&sent| is_open(sent)) {
            return 0;
        }
        self.ends.acked
    }

    /// Whether its process is known: it has reported, answers, and nothing says that another one has
    /// taken its place.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let doubtful =
            self.heartbeat_failed || self.process.asked.is_some() || self.is_confirmation_due();
        self.reported && !doubtful
    }

    /// Whether the executor should answer at once instead of waiting for a run to end.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        let uncertain = |run_state: &RunState| {
            matches!(run_state.phase, Phase::Unconfirmed(_) | Phase::Stopped(_))
        };
        !self.is_settled() || self.runs.values().any(uncertain)
    }

    /// Whether its leases have expired and it is still to be unassigned: it has unknown runs, or it
    /// is assigned and its last heartbeat failed.
    #[must_use]
    pub fn is_lease_over(&self, now: Instant) -> bool {
        let may_have_runs =
            !self.runs_known || (self.heartbeat_failed && self.assignment == Assignment::Recorded);
        may_have_runs && self.leases.expires <= now
    }

    /// Whether it has no runs, known or unknown, and no unacknowledged ends.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs_known && self.runs.is_empty() && self.ends.are_logged()
    }

    /// Returns the share of its CPU that is in use, in thousandths.
    #[must_use]
    pub fn load(&self) -> u64 {
        let capacity = self.info.as_ref().map_or(0, |info| info.capacity.cpu);
        self.used
            .cpu
            .saturating_mul(1_000)
            .checked_div(capacity)
            .unwrap_or(0)
    }
}
