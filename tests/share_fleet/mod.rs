//! Runs the real schedulers and gates in virtual time, on a simulated network with faults.

#![allow(dead_code, reason = "each test file uses only some of the functions")]

mod faults;
mod links;
mod nodes;
mod tasks;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::gate;
use mimosastep::gate::CancelResult;
use mimosastep::gate::Gate;
use mimosastep::name::HostName;
use mimosastep::name::NodeName;
use mimosastep::name::TeamName;
use mimosastep::net::LinkId;
use mimosastep::record::Host;
use mimosastep::record::KeyHash;
use mimosastep::record::Pool;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::Team;
use mimosastep::sched;
use mimosastep::sched::Scheduler;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use mimosastep::wire::RequestId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Task lease, in milliseconds.
const LEASE_MS: u64 = 5_000;
/// Longest time until an end of a closed link notices, in milliseconds.
const MAX_NOTICE_MS: u64 = 400;
/// Interval at which processes read the log, in milliseconds.
const POLL_MS: u64 = 100;

/// A defect that is built in on purpose, to show that the check detects it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Defect {
    /// No defect.
    None,
    /// Permits of a removed member are available at once, without the hold-off.
    NoHoldOff,
    /// Ledgers accept reports that do not yet include all permits sent.
    AcceptStaleReports,
    /// A new ledger assumes that every holder has reported and holds nothing.
    SkipReports,
}

/// A process of the fleet; it keeps its index while it is down.
struct Node {
    role: Role,
    incarnation: u64,
    process: Process,
    up: bool,
    frozen_until: u64,
    state_index: usize,
    updated_at: u64,
    log_stopped: bool,
}

enum Process {
    Sched(Box<Scheduler>),
    Gate(Box<Gate>),
}

struct Task {
    team: TeamName,
    host: HostName,
    gate: usize,
    incarnation: u64,
    end_at: u64,
    lease_end: u64,
}

enum SimEvent {
    Deliver {
        from: (usize, u64),
        to: (usize, u64),
        link: u64,
        message: Message,
    },
    LinkDown {
        at: (usize, u64),
        link: u64,
    },
    Cancelled {
        at: (usize, u64),
        attempt: AttemptId,
    },
}

/// Result of a request; times are milliseconds since the start.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub team: String,
    pub service: String,
    pub urgent: bool,
    /// Whether it was submitted again after a refusal.
    pub is_retry: bool,
    pub submitted_at: u64,
    /// When it started or was refused.
    pub settled_at: u64,
    /// Delay that the refusal asks for, in milliseconds; none if the request started.
    pub retry_after: Option<u64>,
}

/// The simulated fleet: processes, network, log and running tasks.
pub struct Fleet {
    /// Results of the settled requests.
    pub outcomes: Vec<Outcome>,
    open_requests: BTreeMap<RequestId, Outcome>,
    /// Virtual time, in milliseconds since the start.
    pub now: u64,
    pub rng: StdRng,
    pub started: u64,
    pub refused: u64,
    /// Number of tasks that were cancelled while they ran.
    pub cancelled: u64,
    pub violations: Vec<String>,
    start: Instant,
    defect: Defect,
    nodes: Vec<Node>,
    states: Vec<(u64, Rc<State>)>,
    links: BTreeMap<(usize, usize), u64>,
    cuts: BTreeSet<(usize, usize)>,
    last_arrival: BTreeMap<(usize, usize), u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    tasks: BTreeMap<AttemptId, Task>,
    ends: BTreeMap<u64, (usize, u64)>,
    sent_permits: BTreeMap<(TeamName, Peer, Peer), u64>,
    serial: u64,
    /// Whether messages are delayed for longer, and permit messages also lost or duplicated.
    pub lossy: bool,
    /// Draws the run time of a task, in milliseconds.
    pub run_ms: fn(&mut StdRng) -> u64,
}

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

fn node_name(index: usize) -> NodeName {
    name(&format!("n{index}"))
}

pub fn key(team: &str) -> KeyHash {
    KeyHash::of(team.as_bytes())
}

/// Returns a state with services `s0..`, each with `hosts` hosts of `slots` slots, and the given
/// teams.
pub fn fleet_state(services: usize, hosts: usize, slots: u32, teams: &[(&str, Team)]) -> State {
    let mut state = State::default();
    state.dcs.insert(name("a"), true);
    for service in 0..services {
        let pool = Pool {
            service: Some(name(&format!("s{service}"))),
            open: false,
            teams: BTreeSet::new(),
            budget: 0,
        };
        state.pools.insert(name(&format!("p{service}")), pool);
        for index in 0..hosts {
            let host = Host {
                dc: name("a"),
                rack: name("r"),
                addr: ([10, 0, service as u8, index as u8], 80).into(),
                slots,
                pool: name(&format!("p{service}")),
                active: true,
                draining: false,
                maintained: 0,
                home: name(&format!("p{service}")),
                leaving: false,
                listed: 0,
                upkeep: None,
            };
            state
                .hosts
                .insert(name(&format!("h{service}-{index}")), host);
        }
    }
    for (team, row) in teams {
        state.teams.insert(name(team), row.clone());
        state.keys.insert(key(team), name(team));
    }
    state
}

impl Fleet {
    pub fn new(seed: u64, scheds: usize, gates: usize, state: State, defect: Defect) -> Self {
        let mut fleet = Self {
            outcomes: Vec::new(),
            open_requests: BTreeMap::new(),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            started: 0,
            refused: 0,
            cancelled: 0,
            violations: Vec::new(),
            start: Instant::now() + Duration::from_secs(3600),
            defect,
            nodes: Vec::new(),
            states: vec![(0, Rc::new(state))],
            links: BTreeMap::new(),
            cuts: BTreeSet::new(),
            last_arrival: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            tasks: BTreeMap::new(),
            ends: BTreeMap::new(),
            sent_permits: BTreeMap::new(),
            serial: 0,
            lossy: false,
            run_ms: |rng| {
                if rng.random_bool(0.05) {
                    rng.random_range(3_000..20_000)
                } else {
                    rng.random_range(20..400)
                }
            },
        };
        for index in 0..scheds + gates {
            let role = if index < scheds {
                Role::Sched
            } else {
                Role::Gate
            };
            fleet.nodes.push(Node {
                role,
                incarnation: 0,
                process: Process::Gate(Box::default()),
                up: false,
                frozen_until: 0,
                state_index: 0,
                updated_at: 0,
                log_stopped: false,
            });
            fleet.boot(index);
        }
        fleet
    }

    pub fn scheds(&self) -> usize {
        let nodes = self.nodes.iter();
        nodes.filter(|node| node.role == Role::Sched).count()
    }

    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    pub fn state(&self) -> &State {
        &self.states.last().expect("a state").1
    }

    /// Number of running tasks of a team.
    pub fn running(&self, team: &str) -> u32 {
        let tasks = self.tasks.values();
        tasks.filter(|task| task.team.as_str() == team).count() as u32
    }

    /// Number of running and of waiting requests of a team at a service.
    pub fn demand(&self, team: &str, service: usize) -> [u32; 2] {
        let prefix = format!("h{service}-");
        let at_service =
            |task: &&Task| task.team.as_str() == team && task.host.as_str().starts_with(&prefix);
        let running = self.tasks.values().filter(at_service).count();
        let service_name = format!("s{service}");
        let is_waiting =
            |outcome: &&Outcome| outcome.team == team && outcome.service == service_name;
        let waiting = self.open_requests.values().filter(is_waiting).count();
        [running as u32, waiting as u32]
    }

    /// Number of permits of a team that schedulers hold.
    pub fn held(&self, team: &str) -> u32 {
        (0..self.scheds())
            .filter_map(|index| self.scheduler(index))
            .map(|scheduler| scheduler.team_permits().held(&name(team)))
            .sum()
    }

    /// Index of the scheduler that keeps the ledger of a team.
    pub fn ledger(&self, team: &str) -> Option<usize> {
        let has_ledger = |index: &usize| {
            let scheduler = self.scheduler(*index);
            scheduler
                .is_some_and(|scheduler| scheduler.team_permits().ledger(&name(team)).is_some())
        };
        (0..self.scheds()).find(has_ledger)
    }

    pub fn scheduler(&self, index: usize) -> Option<&Scheduler> {
        match &self.nodes[index].process {
            Process::Sched(scheduler) if self.nodes[index].up => Some(scheduler),
            _ => None,
        }
    }

    /// Appends a new state to the log, from which processes read it later.
    pub fn change(&mut self, change: impl FnOnce(&mut State)) {
        let mut state = self.state().clone();
        change(&mut state);
        self.states.push((self.now, Rc::new(state)));
    }

    /// Changes the limit of a team.
    pub fn limit(&mut self, team: &str, limit: u32) {
        self.change(|state| state.teams.get_mut(team).expect("a team").limit = limit);
    }

    /// Advances the virtual time by a millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        self.connect();
        for index in 0..self.nodes.len() {
            self.read_log(index);
        }
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > self.now {
                break;
            }
            self.queue.pop();
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.finish_tasks();
        if self.now.is_multiple_of(20) {
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
        }
    }

    fn instant(&self, now: u64) -> Instant {
        self.start + Duration::from_millis(now)
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].up && self.nodes[index].frozen_until <= self.now
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn handle(&mut self, event: SimEvent) {
        let (index, incarnation) = match &event {
            SimEvent::Deliver { to, .. } => *to,
            SimEvent::LinkDown { at, .. } | SimEvent::Cancelled { at, .. } => *at,
        };
        if !self.nodes[index].up || self.nodes[index].incarnation != incarnation {
            return;
        }
        if self.nodes[index].frozen_until > self.now {
            return self.schedule(self.nodes[index].frozen_until, event);
        }
        match event {
            SimEvent::Cancelled { attempt, .. } => {
                self.notify_gate(
                    index,
                    gate::Event::CancelResult(attempt, CancelResult::Stopped),
                );
            }
            SimEvent::LinkDown { link, .. } => match self.nodes[index].role {
                Role::Gate => self.notify_gate(index, gate::Event::Down(LinkId(link))),
                _ => self.notify_sched(index, sched::Event::Down(LinkId(link))),
            },
            SimEvent::Deliver {
                from,
                link,
                message,
                ..
            } => self.deliver(from, index, LinkId(link), message),
        }
    }
}
