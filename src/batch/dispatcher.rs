//! Decides which task runs where, for all services of a site.

mod executors;
mod heartbeats;
mod host_orders;
mod maintenance;
mod pacing;
mod partition_grants;
mod placement;
mod rebalancing;
mod rewriting;
mod runs;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;

use crate::batch::Action;
use crate::batch::BatchMetrics;
use crate::batch::Directives;
use crate::batch::Event;
use crate::batch::Fence;
use crate::batch::Host;
use crate::batch::JobId;
use crate::batch::JobState;
use crate::batch::Now;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::batch::Resources;
use crate::batch::RunOutcome;
use crate::batch::Shares;
use crate::batch::TaskId;
use crate::batch::advisor::Advisor;
use crate::batch::batch_state::BatchState;
use crate::batch::demand_meter::DemandMeter;
use crate::batch::dispatcher::host_orders::Announced;
use crate::batch::executor_capacity::SiteCapacity;
use crate::batch::executor_state::ExecutorState;
use crate::batch::executor_state::LEASE_MS;
use crate::batch::executor_state::TERM_MS;
use crate::batch::in_flight::InFlight;
use crate::batch::pool_balancer::PoolBalancer;
use crate::batch::waves::Waves;
use crate::batch::widening::Widening;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::QueueName;
use crate::name::ServiceName;
use crate::name::TeamName;

/// Time between two looks for jobs that have become due.
const OPEN_PACE: Duration = Duration::from_millis(20);
/// Time between two looks for executors whose turn it is to be asked.
const PROBE_PACE: Duration = Duration::from_millis(3);
/// Time between two readings of the meters.
const METER_PACE: Duration = Duration::from_millis(250);
/// Time after the election was asked in which it names no other owner, unless this one leaves, in
/// milliseconds.
const SOLE_MS: u64 = 900;
/// Shortest lease that is worth giving, in milliseconds.
const SHORTEST_LEASE_MS: u64 = 500;
/// How long a job that is over can be asked for, in milliseconds.
const RETENTION_MS: u64 = 150_000;

/// Ends of an executor that are on their way into the log.
struct Noting {
    executor: ExecutorId,
    number: u64,
    jobs: Vec<JobId>,
}

/// The decisions of one owner. Events in, actions out; it reads no clock and opens no socket.
pub struct Dispatcher {
    fence: Fence,
    node: NodeName,
    log: Logger,
    state: BatchState,
    advisor: Advisor,
    waves: Waves,
    pools: PoolBalancer,
    hosts: BTreeMap<HostName, Host>,
    missing: BTreeMap<HostName, Instant>,
    meter: DemandMeter,
    shares: Shares,
    // Jobs of which it isn't known whether they are within their team's share.
    unmeasured: Vec<JobId>,
    seats: BTreeMap<ExecutorId, ExecutorState>,
    // Executors by the host that they say they are a life of.
    lives: BTreeMap<HostName, Vec<ExecutorId>>,
    // Where runs of a task are, or may be.
    runs: BTreeMap<TaskId, Vec<(ExecutorId, u64)>>,
    directives: Directives,
    usage: BTreeMap<TeamName, Resources>,
    active: BTreeSet<JobId>,
    ungranted: Vec<JobId>,
    noting: BTreeMap<u64, Noting>,
    engaging: BTreeMap<u64, ExecutorId>,
    granting: BTreeMap<u64, Vec<(JobId, Partitions)>>,
    widening: Widening,
    // Jobs that wait for executors that have not answered.
    held: BTreeSet<JobId>,
    // Hosts without which tasks that last could not be started at the last look.
    lacking: BTreeMap<ServiceName, usize>,
    // Room that was left by the last look for tasks to start.
    vacant: SiteCapacity,
    announced: BTreeMap<u64, Announced>,
    append_ids: u64,
    retention: u64,
    // When the election was last asked and confirmed this owner.
    confirmed: Instant,
    settled: Instant,
    carried: Instant,
    rewritten: u64,
    probed: Instant,
    // When the log was last told of executors that were not heard from.
    awaited: Instant,
    // Since when the log is longer than what was read of it.
    behind: Option<Instant>,
    placed: Instant,
    balanced: Instant,
    upkept: Instant,
    opened: Instant,
    measured: Instant,
    told: Instant,
    starting: InFlight,
    // Tasks were left waiting for these to be answered.
    throttled: bool,
    dirty: bool,
    ends: [u64; RunOutcome::ALL.len()],
    actions: Vec<Action>,
}

impl Dispatcher {
    /// An owner that begins its term with what the log holds.
    #[must_use]
    pub fn new(now: Now, fence: Fence, node: NodeName, state: BatchState, log: Logger) -> Self {
        let active = state.jobs.iter().filter(|(_, entry)| entry.is_active());
        let active: BTreeSet<JobId> = active.map(|(&id, _)| id).collect();
        let ungranted = active
            .iter()
            .filter(|id| state.jobs[*id].partitions.is_empty());
        let ungranted = ungranted.copied().collect();
        let meter = if state.jobs.is_empty() {
            DemandMeter::default()
        } else {
            DemandMeter::inherited(now.at)
        };
        Self {
            fence,
            node,
            log,
            advisor: Advisor::default(),
            waves: Waves::new(&state.maintained),
            pools: PoolBalancer::default(),
            hosts: BTreeMap::new(),
            missing: BTreeMap::new(),
            meter,
            shares: Shares::default(),
            unmeasured: state.jobs.keys().copied().collect(),
            state,
            seats: BTreeMap::new(),
            lives: BTreeMap::new(),
            runs: BTreeMap::new(),
            directives: Directives::default(),
            usage: BTreeMap::new(),
            active,
            ungranted,
            noting: BTreeMap::new(),
            engaging: BTreeMap::new(),
            granting: BTreeMap::new(),
            widening: Widening::default(),
            held: BTreeSet::new(),
            lacking: BTreeMap::new(),
            vacant: SiteCapacity::default(),
            announced: BTreeMap::new(),
            append_ids: 0,
            retention: u64::MAX,
            confirmed: now.at,
            settled: now.at,
            carried: now.at,
            rewritten: now.unix,
            probed: now.at,
            awaited: now.at,
            behind: None,
            placed: now.at,
            balanced: now.at,
            upkept: now.at,
            opened: now.at,
            measured: now.at,
            told: now.at,
            starting: InFlight::default(),
            throttled: false,
            dirty: true,
            ends: [0; RunOutcome::ALL.len()],
            actions: Vec::new(),
        }
    }

    /// Sets how long the log keeps a record, in milliseconds.
    pub const fn retain(&mut self, retention: u64) {
        self.retention = retention;
    }

    /// Sets how long an executor takes to stop a run, in milliseconds. What an earlier owner
    /// stopped may be listed as running for that long.
    pub fn set_stop_time(&mut self, now: Now, stop: u64) {
        self.settled = now.at + Duration::from_millis(stop);
    }

    /// The election, asked at `asked`, has confirmed that this is the owner.
    pub fn confirm(&mut self, asked: Instant) {
        // Tasks may have waited for this.
        self.dirty |= !self.is_sole(asked);
        self.confirmed = asked;
    }

    /// Whether no other owner can have been elected. Then what this one doesn't know of can't have
    /// been started, or have ended, elsewhere.
    fn is_sole(&self, now: Instant) -> bool {
        now < self.confirmed + Duration::from_millis(SOLE_MS)
    }

    /// Time for which leases may be given now, in milliseconds; `None` if it's too short.
    fn lease(&self, now: Instant) -> Option<u64> {
        let term = self.confirmed + Duration::from_millis(TERM_MS);
        let left = term.saturating_duration_since(now).as_millis();
        let lease = LEASE_MS.min(left as u64);
        (lease >= SHORTEST_LEASE_MS).then_some(lease)
    }

    /// Learns something. What follows from it is told by [`Self::poll`].
    pub fn handle(&mut self, now: Now, event: Event) {
        match event {
            Event::Directives(directives) => {
                self.note_waves(now, &directives.waves);
                self.directives = directives;
                self.note_missing(now);
                self.mark_usable(now);
                self.dirty = true;
            }
            Event::Executors(list) => self.list(now, list),
            Event::Records { records, more } => {
                self.behind = more.then(|| self.behind.unwrap_or(now.at));
                self.dirty = true;
                self.read(now, records);
            }
            Event::Appended(append_id) => self.appended(now, append_id),
            Event::Stored(records) => self.stored(now, records),
            Event::HeartbeatAnswered {
                order,
                sent,
                result,
            } => self.held(now, &order, sent, result),
            Event::Started { order, result } => self.started(now, &order, result),
            Event::Hosts(hosts) => {
                let hosts = hosts.into_iter().map(|host| (host.name.clone(), host));
                self.hosts = hosts.collect();
                self.unassign_moved();
                self.note_missing(now);
            }
            Event::Transferred { order, result } => self.transferred(now, &order, result),
            Event::Advised { question, result } => {
                self.advisor.answered(now.at, &question, result);
                self.dirty = true;
            }
            Event::Paced { order, result } => self.paced(&order, result),
            Event::Maintained { order, result } => self.maintained(now, &order, result),
            Event::Reported { wave, state, told } => self.waves.reported(now.at, wave, state, told),
            Event::Stopped { order, result } => self.stopped(now, &order, result),
        }
    }

    /// What is to be done now.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        self.open_due(now);
        self.waves(now);
        self.balance(now);
        self.carry(now);
        self.tell_unheard(now);
        if !self.ungranted.is_empty() {
            let ids = std::mem::take(&mut self.ungranted);
            self.grant_new(&ids);
        }
        self.note_overdue(now);
        if self.dirty && now.at >= self.placed + self.place_pace() {
            self.dirty = false;
            self.placed = now.at;
            self.place(now);
        }
        if now.at >= self.probed + PROBE_PACE {
            self.probed = now.at;
            self.expire(now);
            self.probe(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Answers a gate.
    #[must_use]
    pub fn answer(&self, ask: &OwnerRequest) -> OwnerResponse {
        match ask {
            OwnerRequest::State(queue, id) => OwnerResponse::State(self.state(queue, *id)),
            OwnerRequest::Waiting(queue) => OwnerResponse::Waiting(self.waiting(queue)),
            OwnerRequest::Accept(job, _) if self.state.jobs.contains_key(&job.id) => {
                OwnerResponse::Stored
            }
            OwnerRequest::Accept(..) | OwnerRequest::Cancel(..) => OwnerResponse::Unknown,
        }
    }

    /// Brings the meters up to date.
    pub fn measure(&mut self, now: Now, metrics: &BatchMetrics) {
        if now.at < self.measured + METER_PACE {
            return;
        }
        self.measured = now.at;
        let running = self.seats.values().map(|seat| seat.slots.len()).sum();
        metrics.set_gauges(self.active.len(), running, self.seats.len(), self.fence);
        metrics.count_ends(&std::mem::take(&mut self.ends));
    }

    fn state(&self, queue: &QueueName, id: JobId) -> Option<JobState> {
        let entry = self.state.jobs.get(&id)?;
        (entry.job.queue == *queue).then(|| entry.state())
    }

    fn waiting(&self, queue: &QueueName) -> u64 {
        let jobs = self.active.iter().filter_map(|id| self.state.jobs.get(id));
        let waiting = jobs.filter(|entry| entry.job.queue == *queue && !entry.started);
        waiting.count() as u64
    }

    fn read(&mut self, now: Now, records: Vec<Record>) {
        for record in records {
            if let Record::TermStarted { fence, .. } = &record
                && *fence > self.fence
            {
                info!(self.log, "superseded"; "fence" => self.fence, "by" => *fence);
                self.actions.push(Action::StepDown);
                return;
            }
            // This owner's own records are acted on when they are written.
            if !matches!(record, Record::Accepted(_) | Record::Cancelled(_)) {
                continue;
            }
            if let Some(id) = self.state.apply(record) {
                self.changed(now, id);
            }
        }
    }

    /// Records that this owner appended for a client.
    fn stored(&mut self, now: Now, records: Vec<Record>) {
        let changed = records
            .into_iter()
            .filter_map(|record| self.state.apply(record));
        let changed: Vec<JobId> = changed.collect();
        for id in changed {
            self.changed(now, id);
        }
    }

    fn changed(&mut self, now: Now, id: JobId) {
        let Some(entry) = self.state.jobs.get(&id) else {
            return;
        };
        info!(self.log, "job in the log"; "job" => %id, "queue" => %entry.job.queue,
            "state" => ?entry.state(), "age_ms" => now.unix.saturating_sub(entry.job.accepted));
        if entry.is_active() {
            self.meter.note(now.at, &entry.job);
            self.active.insert(id);
            if entry.partitions.is_empty() {
                self.ungranted.push(id);
            }
            self.unmeasured.push(id);
        } else {
            self.close(now, id);
        }
        self.dirty = true;
    }

    /// Ends a job that is over: nothing of it runs on.
    fn close(&mut self, now: Now, id: JobId) {
        self.active.remove(&id);
        let Some(entry) = self.state.jobs.get_mut(&id) else {
            return;
        };
        if entry.closed.is_some() {
            return;
        }
        entry.closed = Some(now.unix);
        info!(self.log, "job over"; "job" => %id, "done" => entry.is_done(),
            "age_ms" => now.unix.saturating_sub(entry.job.accepted));
        self.stop_all(id);
    }

    fn open_due(&mut self, now: Now) {
        if now.at < self.opened + OPEN_PACE {
            return;
        }
        self.opened = now.at;
        for id in &self.active {
            if let Some(entry) = self.state.jobs.get_mut(id)
                && entry.open_due(now.unix)
            {
                self.dirty = true;
            }
        }
        let old = |closed: u64| closed + RETENTION_MS < now.unix;
        let jobs = &mut self.state.jobs;
        jobs.retain(|_, entry| !entry.closed.is_some_and(old) || entry.unlogged > 0);
    }

    fn append(&mut self, records: Vec<Record>) -> u64 {
        self.append_ids += 1;
        let append_id = self.append_ids;
        self.actions.push(Action::Append { append_id, records });
        append_id
    }

    fn appended(&mut self, now: Now, append_id: u64) {
        if let Some(executor) = self.engaging.remove(&append_id) {
            self.assigned(&executor, append_id);
        }
        if let Some(grants) = self.granting.remove(&append_id) {
            self.granted(grants);
        }
        if let Some(announced) = self.announced.remove(&append_id) {
            self.give(now, announced);
        }
        if let Some(noting) = self.noting.remove(&append_id) {
            self.noted(now, noting);
        }
    }
}
