//! The scheduler of a site: assigns tasks to executors and hosts to pools.

mod backlog;
mod confirmation;
mod executors;
mod heartbeats;
mod host_orders;
mod idle_task;
mod jobs;
mod lease_expiry;
mod log;
mod maintenance;
mod measurement;
mod pacing;
mod partition_grants;
mod pending_ends;
mod placed;
mod placement;
mod polling;
mod rebalancing;
mod reconciliation;
mod rewriting;
mod run_ends;
mod runs;
mod team_limits;
mod verification;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;

use crate::batch::Action;
use crate::batch::Directives;
use crate::batch::Effort;
use crate::batch::Event;
use crate::batch::Fence;
use crate::batch::Host;
use crate::batch::JobId;
use crate::batch::Lateness;
use crate::batch::Now;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Partitions;
use crate::batch::Resources;
use crate::batch::RunOutcome;
use crate::batch::Shares;
use crate::batch::SizeClass;
use crate::batch::TaskId;
use crate::batch::advisor::Advisor;
use crate::batch::backlog::Backlog;
use crate::batch::batch_state::BatchState;
use crate::batch::dispatcher::host_orders::PendingOrder;
use crate::batch::dispatcher::pending_ends::PendingEnds;
use crate::batch::executor_capacity::SiteCapacity;
use crate::batch::executor_state::ExecutorState;
use crate::batch::leases::longest_expiry;
use crate::batch::round::Round;
use crate::batch::turns::Turns;
use crate::batch::unanswered_starts::UnansweredStarts;
use crate::batch::waves::Waves;
use crate::batch::widening::Widening;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::pools::DemandMeter;
use crate::pools::HostCapacity;
use crate::pools::PoolBalancer;

/// Longest lease that an executor grants unless the platform says otherwise, in milliseconds.
const LEASE_LIMIT_MS: u64 = 10_000;

/// Most bytes of a record unless the platform says otherwise.
const RECORD_LIMIT_BYTES: usize = 262_144;

/// The state machine of one owner's term. It takes events and returns actions, reads no clock and
/// does no I/O.
pub struct Dispatcher {
    fence: Fence,
    node: NodeName,
    log: Logger,
    state: BatchState,
    advisor: Advisor,
    waves: Waves,
    pools: PoolBalancer,
    // Whether hosts are divided between services that together need more than there are.
    divides: bool,
    // CPU that services need beyond the hosts that they get, at the last round of balancing, in
    // thousandths of a core.
    unmet_cpu: u64,
    // CPU that counts against teams' limits for unknown runs, at the last summary of the pools, in
    // thousandths of a core.
    unseen_cpu: u64,
    hosts: BTreeMap<HostName, Host>,
    // Since when hosts that are up have no listed executor.
    unlisted: BTreeMap<HostName, Instant>,
    meter: DemandMeter,
    shares: Shares,
    // Jobs not yet checked against their team's share.
    unchecked: Vec<JobId>,
    turns: Turns,
    executors: BTreeMap<ExecutorId, ExecutorState>,
    // Executors by the host that they report to run on.
    by_host: BTreeMap<HostName, Vec<ExecutorId>>,
    // Executors that have runs of a task or may have them, with the runs' numbers.
    locations: BTreeMap<TaskId, Vec<(ExecutorId, u64)>>,
    directives: Directives,
    // Resources of each team's runs.
    usage: BTreeMap<TeamName, Resources>,
    active: BTreeSet<JobId>,
    // Active jobs without partitions for which none have been requested yet.
    ungranted: Vec<JobId>,
    // Appends in progress, by append id.
    pending_ends: BTreeMap<u64, PendingEnds>,
    pending_assignments: BTreeMap<u64, ExecutorId>,
    pending_grants: BTreeMap<u64, Vec<(JobId, Partitions)>>,
    widening: Widening,
    // Jobs that have work left.
    backlog: Backlog,
    // What is left to examine behind the front of each service.
    rounds: BTreeMap<ServiceName, Round>,
    // Partitions of executors with unknown runs, as of the last update of the backlog.
    unknown: BTreeMap<ServiceName, Partitions>,
    // The time of day at the last update of the backlog, in Unix milliseconds.
    ranked_at: u64,
    // Whether the queues or the largest host have changed since the last update of the backlog.
    ranks_changed: bool,
    // Teams that have had a limit set or lifted since the last update of the backlog.
    relimited: BTreeSet<TeamName>,
    // Capacity of the hosts of all pools.
    capacity: HostCapacity,
    // When the next occurrences of jobs are due, in Unix milliseconds.
    openings: BTreeSet<(u64, JobId)>,
    // Jobs that have ended and when, in Unix milliseconds, oldest first.
    closed: VecDeque<(u64, JobId)>,
    // Hosts that long-running tasks of a job lacked when they were last examined.
    extra_hosts: BTreeMap<JobId, (ServiceName, usize)>,
    // Capacity that the last placement left over.
    free_capacity: SiteCapacity,
    pending_orders: BTreeMap<u64, PendingOrder>,
    // Hosts for which an order of this or an earlier owner may have been carried out unnoticed.
    unsettled: BTreeSet<HostName>,
    last_append: u64,
    // How long the log keeps a record, in milliseconds.
    retention: u64,
    // Most bytes that a record of the log may have.
    record_limit: usize,
    // When the last request was sent in answer to which the election confirmed this owner.
    confirmed: Instant,
    // Longest time until a lease has expired that an executor has shortened to the longest that it
    // grants.
    longest_lease: Duration,
    // Until then, runs that an earlier owner stopped may be reported as running.
    stop_deadline: Instant,
    // Number of restarts that this owner has noticed, by executor. Executors that are listed again
    // are sent no lower token than before.
    restarts: BTreeMap<ExecutorId, u64>,
    // When the log was last checked for records to rewrite.
    last_check: Instant,
    // When the records of executors and waves were last rewritten, in Unix milliseconds.
    last_rewrite: u64,
    last_heartbeat: Instant,
    // When the waits for executors with unknown runs were last recorded.
    last_waits: Instant,
    // Since when the log has held records that were not read yet.
    lagging_since: Option<Instant>,
    last_placement: Instant,
    last_balance: Instant,
    // When the waves were last planned.
    last_planning: Instant,
    last_opening: Instant,
    last_metrics: Instant,
    last_summary: Instant,
    starts: UnansweredStarts,
    // Whether the last placement left tasks out because of the limit on unanswered starts.
    throttled: bool,
    // Whether the last placement left out jobs because too many others found no capacity.
    unfinished: bool,
    // Whether something has changed that may allow more tasks to start.
    dirty: bool,
    // Ends since the last update of the metrics, by outcome.
    ends: [u64; RunOutcome::ALL.len()],
    // Jobs completed since the last update of the metrics.
    completed: BTreeMap<(SizeClass, Lateness), u64>,
    effort: Effort,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates the state for a term that begins with the jobs and executors of `state`.
    #[must_use]
    pub fn new(now: Now, fence: Fence, node: NodeName, state: BatchState, log: Logger) -> Self {
        let active = state.jobs.values().filter(|entry| entry.is_active());
        let active: BTreeSet<JobId> = active.map(|entry| entry.job.id).collect();
        let ungranted = active
            .iter()
            .filter(|id| state.jobs[*id].partitions.is_empty());
        let ungranted = ungranted.copied().collect();
        let openings = active.iter().map(|&id| (0, id)).collect();
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
            unsettled: state.ordered.keys().cloned().collect(),
            pools: PoolBalancer::default(),
            divides: false,
            unmet_cpu: 0,
            unseen_cpu: 0,
            hosts: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            meter,
            shares: Shares::default(),
            unchecked: state.jobs.values().map(|entry| entry.job.id).collect(),
            state,
            turns: Turns::default(),
            executors: BTreeMap::new(),
            by_host: BTreeMap::new(),
            locations: BTreeMap::new(),
            directives: Directives::default(),
            usage: BTreeMap::new(),
            active,
            ungranted,
            pending_ends: BTreeMap::new(),
            pending_assignments: BTreeMap::new(),
            pending_grants: BTreeMap::new(),
            widening: Widening::default(),
            backlog: Backlog::default(),
            rounds: BTreeMap::new(),
            unknown: BTreeMap::new(),
            ranked_at: now.unix,
            ranks_changed: false,
            relimited: BTreeSet::new(),
            capacity: HostCapacity::default(),
            openings,
            closed: VecDeque::new(),
            extra_hosts: BTreeMap::new(),
            free_capacity: SiteCapacity::default(),
            pending_orders: BTreeMap::new(),
            last_append: 0,
            retention: u64::MAX,
            record_limit: RECORD_LIMIT_BYTES,
            confirmed: now.at,
            longest_lease: longest_expiry(LEASE_LIMIT_MS),
            stop_deadline: now.at,
            restarts: BTreeMap::new(),
            last_check: now.at,
            last_rewrite: now.unix,
            last_heartbeat: now.at,
            last_waits: now.at,
            lagging_since: None,
            last_placement: now.at,
            last_balance: now.at,
            last_planning: now.at,
            last_opening: now.at,
            last_metrics: now.at,
            last_summary: now.at,
            starts: UnansweredStarts::default(),
            throttled: false,
            unfinished: false,
            dirty: true,
            ends: [0; RunOutcome::ALL.len()],
            completed: BTreeMap::new(),
            effort: Effort::default(),
            actions: Vec::new(),
        }
    }

    /// Sets how long the log keeps a record, in milliseconds.
    pub const fn set_retention(&mut self, retention: u64) {
        self.retention = retention;
    }

    /// Sets how many bytes a record of the log may have.
    pub const fn set_record_limit(&mut self, limit: usize) {
        self.record_limit = limit;
    }

    /// Sets the longest lease that an executor grants, in milliseconds on its clock.
    pub fn set_lease_limit(&mut self, limit: u64) {
        self.longest_lease = longest_expiry(limit);
    }

    /// Sets whether hosts are divided between services that together need more than there are. If not,
    /// each service's need counts in full.
    pub const fn set_division(&mut self, divides: bool) {
        self.divides = divides;
    }

    /// Sets how long an executor takes to stop a run, in milliseconds. For that long, executors may
    /// report runs as running that an earlier owner stopped.
    pub fn set_stop_time(&mut self, now: Now, stop: u64) {
        self.stop_deadline = now.at + Duration::from_millis(stop);
    }

    /// Applies an event. [`Self::poll`] returns the resulting actions.
    pub fn handle(&mut self, now: Now, event: Event) {
        match event {
            Event::Directives(directives) => {
                self.note_waves(now, &directives.waves);
                self.note_changes(&directives);
                self.directives = directives;
                self.note_unlisted(now);
                self.mark_usable(now);
                self.dirty = true;
            }
            Event::Executors(list) => self.update_executors(now, list),
            Event::Records { records, more } => {
                self.lagging_since = more.then(|| self.lagging_since.unwrap_or(now.at));
                self.dirty = true;
                self.apply_records(now, records);
            }
            Event::Appended(append_id) => self.on_appended(now, append_id),
            Event::Stored(records) => self.on_stored(now, records),
            Event::HeartbeatAnswered {
                order,
                sent,
                result,
            } => self.on_heartbeat(now, &order, sent, result),
            Event::Started { order, result } => self.on_started(now, &order, result),
            Event::Hosts(hosts) => {
                self.update_hosts(hosts);
                self.unassign_moved();
                self.note_unlisted(now);
            }
            Event::Transferred { order, result } => self.on_transferred(now, &order, result),
            Event::Advised { question, result } => {
                self.advisor.on_answer(now.at, &question, result);
                self.dirty = true;
            }
            Event::Paced { order, result } => self.on_paced(&order, result),
            Event::Maintained { order, result } => self.on_maintained(now, &order, result),
            Event::Reported {
                wave,
                state,
                stored,
            } => self.waves.on_reported(now.at, wave, state, stored),
            Event::Stopped { order, result } => self.on_stopped(now, &order, result),
        }
    }

    /// Answers a request of a gate from memory; `Unknown` if the request needs an append to the
    /// log.
    #[must_use]
    pub fn answer(&self, request: &OwnerRequest) -> OwnerResponse {
        match request {
            OwnerRequest::State(_, id) => OwnerResponse::State(self.job_state(*id)),
            OwnerRequest::Waiting(queue) => OwnerResponse::Waiting(self.waiting_jobs(queue)),
            OwnerRequest::Accept(job, _) if self.state.jobs.contains(&job.id) => {
                OwnerResponse::Stored
            }
            OwnerRequest::Accept(..) | OwnerRequest::Cancel(..) => OwnerResponse::Unknown,
        }
    }
}
