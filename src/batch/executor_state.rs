//! What an owner knows of one executor.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Executor;
use crate::batch::Partitions;
use crate::batch::Resources;
use crate::batch::TaskId;
use crate::batch::in_flight::OVERDUE_MS;
use crate::batch::run_state::Phase;
use crate::batch::run_state::RunState;
use crate::name::ServiceName;

/// Lease that an order asks for, in milliseconds.
pub const LEASE_MS: u64 = 4_500;
/// Longest time until such a lease is over, on an executor whose clock is 2% slow, in milliseconds.
pub const EXPIRY_MS: u64 = 4_800;
/// Time after the election has last confirmed an owner at which all its leases end, in
/// milliseconds. An owner that is cut off from the election goes on until then.
pub const TERM_MS: u64 = 6_000;
/// Longest time until all leases of earlier owners are over, counted from the election of the next
/// one, on executors whose clocks are 2% slow, in milliseconds.
pub const SUCCESSION_MS: u64 = 6_300;

/// Whether the log says that the executor may have work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assignment {
    /// It does not. An executor that is listed gets this way when its leases have run out.
    None,
    /// The record is on its way, under that receipt.
    Asked(u64),
    /// It does.
    Recorded,
}

/// When the executor is asked what it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatState {
    /// At that time, if there is anything to ask for.
    At(Instant),
    /// The order is on its way since then.
    Sent(Instant),
    /// Once the ends that it listed are in the log.
    Noting,
}

/// One executor and the runs on it.
#[derive(Debug)]
pub struct ExecutorState {
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// The cell that it belongs to.
    pub partition: Partitions,
    /// Its host is not about to leave, and its data centre is open.
    pub usable: bool,
    /// Its address.
    pub addr: SocketAddr,
    /// When this life of it began, in Unix milliseconds, once it's known.
    pub born: Option<u64>,
    /// What it says of itself, while the platform lists it.
    pub info: Option<Rc<Executor>>,
    /// Whether it may be given work.
    pub assignment: Assignment,
    /// It has told this owner what it runs.
    pub resolved: bool,
    /// Nothing that an earlier owner started can run there unknown to this one.
    pub cleared: bool,
    /// Its last order got no answer.
    pub silent: bool,
    /// Number of orders in a row that got no answer.
    pub misses: u32,
    /// The log says that it's given nothing before it is engaged anew.
    pub unheard: bool,
    /// The life of it that was ended by an order, by when it began.
    pub retired: Option<u64>,
    /// Since when an order to start has had no answer, if none was answered since.
    pub asked: Option<Instant>,
    /// It gets no new work before that time.
    pub shunned: Option<Instant>,
    /// Its clock in milliseconds, and when it showed that.
    pub clock: Option<(u64, Instant)>,
    /// When all leases on it are surely over.
    pub expires: Instant,
    /// When it is asked next.
    pub probe: HeartbeatState,
    /// Highest end that it listed.
    pub seen: u64,
    /// Highest end that is in the log.
    pub acked: u64,
    /// Runs, by their task and number.
    pub slots: BTreeMap<(TaskId, u64), RunState>,
    /// What the runs take off its capacity.
    pub used: Resources,
    /// Number of runs of tasks that last.
    pub lasting: usize,
}

impl ExecutorState {
    /// An executor that nobody has given work yet.
    #[must_use]
    pub fn fresh(info: Executor, now: Instant) -> Self {
        let partition = Partitions::of(&info.id);
        Self {
            born: Some(info.born),
            cleared: true,
            assignment: Assignment::None,
            ..Self::inherited(info.service.clone(), info.addr, partition, now)
        }
        .with(info)
    }

    /// An executor that an earlier owner may have given work, the last time before `now`.
    #[must_use]
    pub fn inherited(
        service: ServiceName,
        addr: SocketAddr,
        partition: Partitions,
        now: Instant,
    ) -> Self {
        Self {
            service,
            partition,
            usable: false,
            addr,
            born: None,
            info: None,
            assignment: Assignment::Recorded,
            resolved: false,
            cleared: false,
            silent: false,
            misses: 0,
            unheard: false,
            retired: None,
            asked: None,
            shunned: None,
            clock: None,
            expires: now + Duration::from_millis(SUCCESSION_MS),
            probe: HeartbeatState::At(now),
            seen: 0,
            acked: 0,
            slots: BTreeMap::new(),
            used: Resources::default(),
            lasting: 0,
        }
    }

    fn with(mut self, info: Executor) -> Self {
        self.info = Some(Rc::new(info));
        self
    }

    /// A time on its clock, `ahead` milliseconds after `now`.
    #[must_use]
    pub fn deadline(&self, now: Instant, ahead: u64) -> Option<u64> {
        let (clock, at) = self.clock?;
        let since = u64::try_from(now.saturating_duration_since(at).as_millis()).ok()?;
        Some(clock + since + ahead)
    }

    /// Notes that an order renews its leases.
    pub fn renew(&mut self, now: Instant) {
        self.expires = now + Duration::from_millis(EXPIRY_MS);
    }

    /// Whether it may be given work.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        let shunned = self.shunned.is_some_and(|until| now < until);
        let known = self.resolved && self.assignment == Assignment::Recorded;
        let stays = self.info.as_ref().is_some_and(|info| !info.draining);
        known
            && stays
            && self.usable
            && !self.is_retired()
            && !self.silent
            && !shunned
            && !self.is_overdue(now)
    }

    /// Whether it has not answered an order to start for too long.
    fn is_overdue(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(OVERDUE_MS);
        self.asked.is_some_and(|asked| now >= asked + limit)
    }

    /// Whether its life was ended by an order and no other has begun.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retired.is_some() && self.retired >= self.born
    }

    /// Goes on with the wait of an earlier owner, which the log gives, in milliseconds.
    pub fn resume_wait(&mut self, waited: u64) {
        self.unheard = true;
        self.expires -= Duration::from_millis(waited.min(SUCCESSION_MS));
    }

    /// Whether there is anything to ask it for.
    #[must_use]
    pub fn wants_probe(&self) -> bool {
        let asked = matches!(self.assignment, Assignment::Asked(_));
        let known = !asked && !self.is_retired();
        known && (!self.resolved || !self.slots.is_empty() || self.seen > self.acked)
    }

    /// Whether it may have work of an earlier owner that this one doesn't know of.
    #[must_use]
    pub const fn is_unheard(&self) -> bool {
        !self.cleared
    }

    /// Whether it's known what runs there.
    #[must_use]
    pub fn is_known(&self) -> bool {
        let given_up = self.assignment == Assignment::None;
        self.cleared && (self.resolved || given_up)
    }

    /// Time for which no owner has given it anything, in milliseconds, if it's unheard of.
    #[must_use]
    pub fn waited(&self, now: Instant) -> u64 {
        let left = self.expires.saturating_duration_since(now).as_millis();
        SUCCESSION_MS.saturating_sub(left as u64)
    }

    /// Nothing runs there any more, and the log is told so: it is engaged anew before it's given
    /// anything.
    pub const fn give_up(&mut self) {
        self.cleared = true;
        self.resolved = false;
        self.unheard = false;
        self.seen = self.acked;
        self.assignment = Assignment::None;
    }

    /// Whether the executor's answer must not wait for an end.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        let doubtful =
            |slot: &RunState| matches!(slot.phase, Phase::Doubtful(_) | Phase::Stopped(_));
        !self.resolved || self.silent || self.slots.values().any(doubtful)
    }

    /// Whether its leases are over while something may run there by what the log says.
    #[must_use]
    pub fn is_lapsed(&self, now: Instant) -> bool {
        let holding = !self.cleared || (self.silent && self.assignment == Assignment::Recorded);
        holding && self.expires <= now
    }

    /// Whether nothing runs there and nothing is to be asked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cleared && self.slots.is_empty() && self.seen == self.acked
    }

    /// Share of its processor that is taken, in thousandths.
    #[must_use]
    pub fn load(&self) -> u64 {
        let capacity = self.info.as_ref().map_or(0, |info| info.capacity.cpu);
        (self.used.cpu * 1_000).checked_div(capacity).unwrap_or(0)
    }
}
