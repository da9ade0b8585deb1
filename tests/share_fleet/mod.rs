//! A fleet of the real schedulers and gates in virtual time, on a network that fails.

#![allow(dead_code, reason = "each test file uses a part of it")]

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
const LEASE: u64 = 5_000;
/// Time after which a side of a cut link notices, in milliseconds.
const NOTICE: u64 = 400;
/// Time between two reads of the log, in milliseconds.
const POLL: u64 = 100;

/// What is made wrong on purpose, to see that the check finds it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Defect {
    None,
    /// Ended processes are taken for gone at once.
    NoHoldOff,
    /// Ledgers believe reports that do not count all permits sent.
    BlindTrust,
    /// A new ledger takes everyone for heard, with nothing held.
    NoWait,
}

/// A member of the fleet; a process that is down keeps its place.
struct Node {
    role: Role,
    incarnation: u64,
    body: Body,
    up: bool,
    frozen: u64,
    offset: usize,
    learned: u64,
    deaf: bool,
}

enum Body {
    Sched(Box<Scheduler>),
    Gate(Box<Gate>),
}

struct Task {
    team: TeamName,
    host: HostName,
    gate: usize,
    incarnation: u64,
    ends: u64,
    lease: u64,
}

enum Work {
    Deliver {
        from: (usize, u64),
        to: (usize, u64),
        link: u64,
        message: Message,
    },
    Down {
        at: (usize, u64),
        link: u64,
    },
    Settled {
        at: (usize, u64),
        attempt: AttemptId,
    },
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub team: String,
    pub service: String,
    pub urgent: bool,
    /// Whether its caller came back after a refusal.
    pub again: bool,
    pub submitted_at: u64,
    pub settled_at: u64,
    /// None if it started.
    pub retry_after: Option<u64>,
}

pub struct Fleet {
    pub outcomes: Vec<Outcome>,
    open: BTreeMap<RequestId, Outcome>,
    pub now: u64,
    pub rng: StdRng,
    pub started: u64,
    pub refused: u64,
    /// Tasks that were cancelled while they ran.
    pub wasted: u64,
    pub violations: Vec<String>,
    start: Instant,
    fault: Defect,
    nodes: Vec<Node>,
    states: Vec<(u64, Rc<State>)>,
    links: BTreeMap<(usize, usize), u64>,
    cuts: BTreeSet<(usize, usize)>,
    last: BTreeMap<(usize, usize), u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    work: BTreeMap<u64, Work>,
    tasks: BTreeMap<AttemptId, Task>,
    ends: BTreeMap<u64, (usize, u64)>,
    sent: BTreeMap<(TeamName, Peer, Peer), u64>,
    serial: u64,
    pub lossy: bool,
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

/// Services `s0..`, each with `hosts` hosts of `slots` slots, and teams with weight and limit.
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
    pub fn new(seed: u64, scheds: usize, gates: usize, state: State, fault: Defect) -> Self {
        let mut fleet = Self {
            outcomes: Vec::new(),
            open: BTreeMap::new(),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            started: 0,
            refused: 0,
            wasted: 0,
            violations: Vec::new(),
            start: Instant::now() + Duration::from_secs(3600),
            fault,
            nodes: Vec::new(),
            states: vec![(0, Rc::new(state))],
            links: BTreeMap::new(),
            cuts: BTreeSet::new(),
            last: BTreeMap::new(),
            queue: BinaryHeap::new(),
            work: BTreeMap::new(),
            tasks: BTreeMap::new(),
            ends: BTreeMap::new(),
            sent: BTreeMap::new(),
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
                body: Body::Gate(Box::default()),
                up: false,
                frozen: 0,
                offset: 0,
                learned: 0,
                deaf: false,
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

    /// Slots that a team occupies at backend servers.
    pub fn running(&self, team: &str) -> u32 {
        let tasks = self.tasks.values();
        tasks.filter(|task| task.team.as_str() == team).count() as u32
    }

    /// Requests of a team that run and that wait at a service.
    pub fn demand(&self, team: &str, service: usize) -> [u32; 2] {
        let prefix = format!("h{service}-");
        let here =
            |task: &&Task| task.team.as_str() == team && task.host.as_str().starts_with(&prefix);
        let running = self.tasks.values().filter(here).count();
        let asked = format!("s{service}");
        let waits = |outcome: &&Outcome| outcome.team == team && outcome.service == asked;
        let waiting = self.open.values().filter(waits).count();
        [running as u32, waiting as u32]
    }

    /// Permits of a team that schedulers hold.
    pub fn held(&self, team: &str) -> u32 {
        (0..self.scheds())
            .filter_map(|index| self.scheduler(index))
            .map(|scheduler| scheduler.team_permits().held(&name(team)))
            .sum()
    }

    /// The scheduler that keeps a team's ledger.
    pub fn ledger(&self, team: &str) -> Option<usize> {
        let keeps = |index: &usize| {
            let scheduler = self.scheduler(*index);
            scheduler
                .is_some_and(|scheduler| scheduler.team_permits().ledger(&name(team)).is_some())
        };
        (0..self.scheds()).find(keeps)
    }

    pub fn scheduler(&self, index: usize) -> Option<&Scheduler> {
        match &self.nodes[index].body {
            Body::Sched(scheduler) if self.nodes[index].up => Some(scheduler),
            _ => None,
        }
    }

    /// Appends a change of the state; processes learn of it from the log.
    pub fn change(&mut self, change: impl FnOnce(&mut State)) {
        let mut state = self.state().clone();
        change(&mut state);
        self.states.push((self.now, Rc::new(state)));
    }

    pub fn limit(&mut self, team: &str, limit: u32) {
        self.change(|state| state.teams.get_mut(team).expect("a team").limit = limit);
    }

    /// Lets a millisecond pass.
    pub fn step(&mut self) {
        self.now += 1;
        self.connect();
        for index in 0..self.nodes.len() {
            self.learn(index);
        }
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > self.now {
                break;
            }
            self.queue.pop();
            if let Some(work) = self.work.remove(&id) {
                self.perform(work);
            }
        }
        self.finish_tasks();
        if self.now.is_multiple_of(20) {
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
        }
    }

    fn at(&self, now: u64) -> Instant {
        self.start + Duration::from_millis(now)
    }

    fn live(&self, index: usize) -> bool {
        self.nodes[index].up && self.nodes[index].frozen <= self.now
    }

    fn schedule(&mut self, at: u64, work: Work) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.work.insert(self.serial, work);
    }

    fn perform(&mut self, work: Work) {
        let (index, incarnation) = match &work {
            Work::Deliver { to, .. } => *to,
            Work::Down { at, .. } | Work::Settled { at, .. } => *at,
        };
        if !self.nodes[index].up || self.nodes[index].incarnation != incarnation {
            return;
        }
        if self.nodes[index].frozen > self.now {
            return self.schedule(self.nodes[index].frozen, work);
        }
        match work {
            Work::Settled { attempt, .. } => {
                self.tell_gate(
                    index,
                    gate::Event::CancelResult(attempt, CancelResult::Stopped),
                );
            }
            Work::Down { link, .. } => match self.nodes[index].role {
                Role::Gate => self.tell_gate(index, gate::Event::Down(LinkId(link))),
                _ => self.tell_sched(index, sched::Event::Down(LinkId(link))),
            },
            Work::Deliver {
                from,
                link,
                message,
                ..
            } => self.deliver(from, index, LinkId(link), message),
        }
    }
}
