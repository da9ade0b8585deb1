//! An in-memory site in virtual time: owners, executors, hosts and the log.

pub mod actions;
mod hosts;
mod jobs;
mod operators;
mod simulated_owner;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::BatchState;
use mimosastep::batch::Directives;
use mimosastep::batch::Dispatcher;
use mimosastep::batch::Event;
use mimosastep::batch::Host;
use mimosastep::batch::JobId;
use mimosastep::batch::Now;
use mimosastep::batch::Policy;
use mimosastep::batch::Pool;
use mimosastep::batch::Record;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Start;
use mimosastep::batch::StepId;
use mimosastep::batch::TaskId;
use mimosastep::batch::WaveState;
use mimosastep::name::ExecutorId;
use mimosastep::name::HostName;
use mimosastep::name::NodeName;
use mimosastep::name::ServiceName;
use mimosastep::name::TeamName;
use slog::Discard;
use slog::Logger;
use slog::o;

use crate::fake_executor::FakeExecutor;
pub use crate::simulation::jobs::long_running;
use crate::simulation::jobs::queue;
pub use crate::simulation::jobs::step;
pub use crate::simulation::simulated_owner::OwnerFault;
use crate::simulation::simulated_owner::SimulatedOwner;

/// Virtual time of one simulation step, in milliseconds.
const TICK_MS: u64 = 5;
/// Delay until the answer to an order arrives, in milliseconds.
const ROUND_TRIP_MS: u64 = 5;
/// Time that a host is down for a move or for maintenance, in milliseconds.
const AWAY_MS: u64 = 1_500;
/// CPU capacity of a host, in millicores.
pub const HOST_CPU: u64 = 16_000;

/// Duration (in milliseconds) and outcome of a run, by task and run number.
pub type Script = Box<dyn Fn(&TaskId, u64) -> (u64, RunOutcome)>;

/// Whether a step may run on an executor.
pub type AdvicePolicy = Box<dyn Fn(&StepId, &ExecutorId) -> bool>;

/// A host and the executor that runs on it, if any.
struct HostState {
    pool: ServiceName,
    executor: Option<ExecutorId>,
    back_at: Option<Instant>,
    moving: bool,
}

/// A simulated site.
pub struct Simulation {
    pub now: Now,
    /// The elected owner, preceded by superseded owners that may still send orders.
    pub owners: Vec<SimulatedOwner>,
    pub fakes: BTreeMap<ExecutorId, FakeExecutor>,
    hosts: BTreeMap<HostName, HostState>,
    // Executors that are gone but still listed by the platform.
    stale_listings: Vec<(ExecutorId, HostName, ServiceName)>,
    pub directives: Directives,
    pub records: Vec<Record>,
    pub script: Script,
    /// Tail latency of serving tasks in milliseconds, by the pace (in percent) of the best-effort
    /// tasks beside them.
    pub tail_latency: Box<dyn Fn(u64) -> u64>,
    /// The owner lags behind the log: each batch of records is followed by more.
    pub log_backlog: bool,
    /// The platform's lists don't change, so that owners are sent none.
    pub lists_paused: bool,
    /// Executors listed as draining.
    pub draining: BTreeSet<ExecutorId>,
    /// Executors that run on without being listed.
    pub unlisted: BTreeSet<ExecutorId>,
    /// Start and address that another writer's entries state for executors, in place of their own.
    pub odd_entries: BTreeMap<ExecutorId, (u64, SocketAddr)>,
    /// Entries that another writer has added to the list of hosts.
    pub odd_hosts: Vec<Host>,
    /// Number of further start orders whose answers are lost.
    pub lost_starts: usize,
    /// Time after which further start orders arrive, in milliseconds, if they get no answer and arrive
    /// late.
    pub late_starts: Option<u64>,
    /// Time for which further start orders wait before they are sent, in milliseconds. They are answered.
    pub queued_starts: Option<u64>,
    // Start orders on their way, and when they arrive.
    late_orders: Vec<(Instant, Start)>,
    // Start orders that wait to be sent, and when they are.
    queued_orders: Vec<(Instant, Start)>,
    /// Time until a start order is answered, in milliseconds.
    pub start_time: fn(&Start) -> u64,
    /// Number of further stop orders whose answers are lost.
    pub lost_stops: usize,
    /// Successful starts in order: time, task, run and executor.
    pub starts: Vec<(Instant, TaskId, u64, ExecutorId)>,
    pub done: BTreeSet<TaskId>,
    /// Last reported state of each maintenance wave.
    pub wave_states: BTreeMap<u64, WaveState>,
    /// Hosts taken down for maintenance, in order.
    pub maintained: Vec<HostName>,
    /// Waves and hosts taken down for them.
    pub maintained_in: BTreeSet<(u64, HostName)>,
    /// Pace orders in order: task and pace in percent.
    pub pace_orders: Vec<(TaskId, u64)>,
    /// Executors on which every run fails after 20 ms.
    pub failing: BTreeSet<ExecutorId>,
    /// Number of orders to move a host to another pool.
    pub moves: usize,
    /// Number of requests to the advice service.
    pub consultations: usize,
    /// Whether the advice service permits a step on an executor.
    pub permits: AdvicePolicy,
    /// Orders for hosts are carried out, but their answers are lost.
    pub answers_lost: bool,
    /// The advice service answers no requests.
    pub advice_down: bool,
    /// Executors refuse starts without a ticket.
    pub needs_ticket: bool,
    /// Cost so far: host-milliseconds in all pools except the spare one.
    pub host_ms: u64,
    incarnations: u64,
    listed_at: Instant,
    spare_pool: Option<ServiceName>,
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("invalid name")
}

pub fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("invalid name")
}

pub fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("invalid job id")
}

impl Simulation {
    /// Creates a site from the names and host counts of its pools, and runs it for 4 s. Hosts of
    /// the pool `spare` are off.
    pub fn new(pools: &[(&str, usize)]) -> Self {
        let started = Instant::now();
        let now = Now {
            at: started,
            unix: 1_000_000,
        };
        let log = Logger::root(Discard, o!());
        let node = NodeName::new("node-1").expect("invalid name");
        let took = Record::TermStarted {
            fence: 1,
            node: node.clone(),
        };
        let mut policy = Policy {
            version: 1,
            ..Policy::default()
        };
        for (name, _) in pools {
            let spare = *name == "spare";
            policy.pools.insert(
                service(name),
                Pool {
                    admission_control: true,
                    spare,
                },
            );
            if !spare {
                policy.queues.push(queue(name));
            }
        }
        let directives = Directives {
            policy: Some(Rc::new(policy)),
            ..Directives::default()
        };
        let mut sim = Self {
            now,
            owners: vec![SimulatedOwner::new(Dispatcher::new(
                now,
                1,
                node,
                BatchState::default(),
                log,
            ))],
            fakes: BTreeMap::new(),
            hosts: BTreeMap::new(),
            stale_listings: Vec::new(),
            directives,
            records: vec![took],
            script: Box::new(|_, _| (1_000, RunOutcome::Done)),
            tail_latency: Box::new(|_| 0),
            log_backlog: false,
            lists_paused: false,
            draining: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            odd_entries: BTreeMap::new(),
            odd_hosts: Vec::new(),
            lost_starts: 0,
            late_starts: None,
            queued_starts: None,
            queued_orders: Vec::new(),
            late_orders: Vec::new(),
            start_time: |_| ROUND_TRIP_MS,
            lost_stops: 0,
            starts: Vec::new(),
            done: BTreeSet::new(),
            wave_states: BTreeMap::new(),
            maintained: Vec::new(),
            maintained_in: BTreeSet::new(),
            pace_orders: Vec::new(),
            failing: BTreeSet::new(),
            moves: 0,
            consultations: 0,
            permits: Box::new(|_, _| true),
            answers_lost: false,
            advice_down: false,
            needs_ticket: false,
            host_ms: 0,
            incarnations: 0,
            listed_at: started,
            spare_pool: None,
        };
        for (name, count) in pools {
            for number in 0..*count {
                let host = HostName::new(&format!("{name}-{number}")).expect("invalid name");
                let host_state = HostState {
                    pool: service(name),
                    executor: None,
                    back_at: Some(started),
                    moving: false,
                };
                sim.hosts.insert(host, host_state);
            }
            if *name == "spare" {
                sim.spare_pool = Some(service(name));
            }
        }
        let directives = sim.directives.clone();
        sim.owner()
            .dispatcher
            .handle(now, Event::Directives(directives));
        sim.run(4_000);
        sim
    }

    /// Sets the longest lease that owners expect executors to grant, in milliseconds.
    pub fn set_lease_limit(&mut self, limit: u64) {
        self.owner().dispatcher.set_lease_limit(limit);
    }

    /// The elected owner.
    pub fn owner(&mut self) -> &mut SimulatedOwner {
        self.owners.last_mut().expect("no owner")
    }

    /// Whether the elected owner has given up its term.
    pub fn has_stepped_down(&self) -> bool {
        self.owners.last().is_none_or(|owner| owner.stepped_down)
    }

    /// Kills the elected owner and elects another one, which takes over from the log.
    pub fn replace_owner(&mut self, fence: u64) {
        self.elect(fence);
        let earlier = self.owners.len() - 1;
        self.owners.drain(..earlier);
    }

    /// Elects another owner, which takes over from the log. The previous one keeps running until it
    /// learns of this or its fault stops it.
    pub fn supersede_owner(&mut self, fence: u64, fault: OwnerFault) {
        let now = self.now.at;
        self.owner().supersede(now, fault);
        self.elect(fence);
    }

    fn elect(&mut self, fence: u64) {
        let mut state = BatchState::default();
        let node = NodeName::new(&format!("node-{fence}")).expect("invalid name");
        self.records.push(Record::TermStarted {
            fence,
            node: node.clone(),
        });
        for record in &self.records {
            state.apply(record.clone());
        }
        let log = Logger::root(Discard, o!());
        let mut dispatcher = Dispatcher::new(self.now, fence, node, state, log);
        dispatcher.set_stop_time(self.now, 1_000);
        dispatcher.begin(self.now);
        let directives = self.directives.clone();
        dispatcher.handle(self.now, Event::Directives(directives));
        let mut owner = SimulatedOwner::new(dispatcher);
        owner.unreachable.clone_from(&self.owner().unreachable);
        self.owners.push(owner);
        self.publish_listing();
    }

    /// Executors that run a task.
    pub fn executors_running(&self, task: &TaskId) -> Vec<ExecutorId> {
        let fakes = self
            .fakes
            .iter()
            .filter(|(_, fake)| fake.runs.contains_key(task));
        fakes.map(|(id, _)| id.clone()).collect()
    }

    /// Advances virtual time, or stops earlier if the elected owner steps down.
    pub fn run(&mut self, ms: u64) {
        let until = self.now.at + Duration::from_millis(ms);
        while self.now.at < until && !self.has_stepped_down() {
            self.advance();
        }
        let now = self.now;
        assert!(
            self.owner().dispatcher.check_backlog(now),
            "the backlog differs from the jobs' states"
        );
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        let now = self.now.at;
        self.owner().schedule(now, ms, event);
    }

    fn advance(&mut self) {
        self.now.at += Duration::from_millis(TICK_MS);
        self.now.unix += TICK_MS;
        let spare_pool = &self.spare_pool;
        let powered = self
            .hosts
            .values()
            .filter(|host_state| Some(&host_state.pool) != spare_pool.as_ref());
        self.host_ms += powered.count() as u64 * TICK_MS;
        for fake in self.fakes.values_mut().filter(|fake| !fake.down) {
            for (task, _, outcome) in fake.advance(self.now.at) {
                if outcome == RunOutcome::Done {
                    assert!(self.done.insert(task), "{task} completed twice");
                }
            }
        }
        self.start_executors();
        self.deliver_late_starts();
        if !self.lists_paused && self.now.at >= self.listed_at + Duration::from_millis(200) {
            self.publish_listing();
        }
        let mut owners = std::mem::take(&mut self.owners);
        for owner in &mut owners {
            self.poll_owner(owner);
        }
        self.owners = owners;
        self.check_invariants();
    }

    /// Delivers due events to an owner and carries out its actions.
    fn poll_owner(&mut self, owner: &mut SimulatedOwner) {
        owner.answer_long_polls(self.now.at, &self.fakes);
        if !owner.is_running(self.now.at) {
            return;
        }
        owner.confirm_term(self.now.at);
        for event in owner.take_due_events(self.now.at) {
            owner.dispatcher.handle(self.now, event);
        }
        self.send_queued_starts(owner);
        for action in owner.dispatcher.poll(self.now) {
            self.execute(owner, action);
        }
    }

    /// Checks that no task runs on two executors at the same time.
    fn check_invariants(&self) {
        let mut seen = BTreeSet::new();
        for fake in self.fakes.values() {
            for task in fake.runs.keys() {
                assert!(
                    seen.insert(*task),
                    "{task} runs on two executors at the same time"
                );
            }
        }
    }
}
