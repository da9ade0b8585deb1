//! A fleet of the real schedulers and gates in virtual time, on a network that fails.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::gate;
use mimosastep::gate::Ended;
use mimosastep::gate::Gate;
use mimosastep::gate::Settled;
use mimosastep::gate::Submission;
use mimosastep::member::FRESH_FOR;
use mimosastep::name::HostName;
use mimosastep::name::NodeName;
use mimosastep::name::TeamName;
use mimosastep::net::LinkId;
use mimosastep::record::Host;
use mimosastep::record::KeyHash;
use mimosastep::record::Member;
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
pub enum Break {
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
    pub asked: u64,
    pub at: u64,
    /// None if it started.
    pub retry: Option<u64>,
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
    fault: Break,
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
pub fn table(services: usize, hosts: usize, slots: u32, teams: &[(&str, Team)]) -> State {
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
    pub fn open(seed: u64, scheds: usize, gates: usize, state: State, fault: Break) -> Self {
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
            .map(|scheduler| scheduler.escrow().permits(&name(team)))
            .sum()
    }

    /// The scheduler that keeps a team's ledger.
    pub fn ledger(&self, team: &str) -> Option<usize> {
        let keeps = |index: &usize| {
            let scheduler = self.scheduler(*index);
            scheduler.is_some_and(|scheduler| scheduler.escrow().ledger(&name(team)).is_some())
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

    /// Starts a process afresh and lets it join.
    pub fn boot(&mut self, index: usize) {
        let at = (self.now + 1) * 1000 + index as u64;
        let role = self.nodes[index].role;
        let node = &mut self.nodes[index];
        node.incarnation = at;
        node.body = match role {
            Role::Sched => Body::Sched(Box::new(Scheduler::new(node_name(index), at))),
            _ => Body::Gate(Box::new(Gate::new(Peer {
                node: node_name(index),
                incarnation: at,
            }))),
        };
        (node.up, node.frozen, node.offset, node.deaf) = (true, 0, 0, false);
        node.learned = 0;
        let member = Member {
            role,
            incarnation: at,
            addr: ([127, 0, 0, 1], index as u16 + 1).into(),
            dc: name("a"),
            leaving: false,
        };
        self.change(|state| {
            state.incarnations.insert(node_name(index), at);
            state.members.insert(node_name(index), member);
            state.epoch += 1;
        });
    }

    /// Kills a process; its links break.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for pair in pairs {
            if pair.0 == index || pair.1 == index {
                self.unlink(pair);
            }
        }
    }

    /// Ends the membership of a process.
    pub fn end(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.change(|state| {
            let member = state.members.get(&node_name(index));
            if member.is_some_and(|member| member.incarnation == incarnation) {
                state.members.remove(&node_name(index));
                state.epoch += 1;
            }
        });
    }

    pub fn leave(&mut self, index: usize) {
        self.change(|state| {
            if let Some(member) = state.members.get_mut(&node_name(index)) {
                member.leaving = true;
                state.epoch += 1;
            }
        });
    }

    pub fn freeze(&mut self, index: usize, until: u64) {
        self.nodes[index].frozen = until;
    }

    /// Cuts a process off from the log, or ends that.
    pub fn deafen(&mut self, index: usize, deaf: bool) {
        self.nodes[index].deaf = deaf;
    }

    /// Loses everything from one process to another from now on; both notice.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
        self.unlink((from.min(to), from.max(to)));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].deaf = false;
            if !self.nodes[index].up {
                self.end(index);
                self.boot(index);
            }
        }
    }

    pub fn is_member(&self, index: usize) -> bool {
        let member = self.state().members.get(&node_name(index));
        member.is_some_and(|member| member.incarnation == self.nodes[index].incarnation)
    }

    /// Sends a caller's request to a gate.
    pub fn submit(&mut self, gate: usize, team: &str, service: &str, urgent: bool, within: u64) {
        let outcome = Outcome {
            team: team.to_owned(),
            service: service.to_owned(),
            urgent,
            again: false,
            asked: self.now,
            at: self.now,
            retry: None,
        };
        self.submit_as(gate, outcome, within);
    }

    /// Sends a request again that was refused.
    pub fn submit_again(&mut self, gate: usize, refused: &Outcome, within: u64) {
        let outcome = Outcome {
            again: true,
            asked: self.now,
            retry: None,
            ..refused.clone()
        };
        self.submit_as(gate, outcome, within);
    }

    fn submit_as(&mut self, gate: usize, outcome: Outcome, within: u64) {
        self.serial += 1;
        let submission = Submission {
            request: RequestId(u128::from(self.serial)),
            caller: None,
            service: name(&outcome.service),
            key: Some(key(&outcome.team)),
            urgent: outcome.urgent,
            idempotent: false,
            deadline: self.at(self.now + within),
        };
        self.open.insert(submission.request, outcome);
        self.tell_gate(gate, gate::Event::Submit(submission));
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

    fn connect(&mut self) {
        let scheds = self.scheds();
        for low in 0..scheds {
            for high in low + 1..self.nodes.len() {
                let whole = !self.cuts.contains(&(low, high)) && !self.cuts.contains(&(high, low));
                let alive = self.live(low) && self.live(high);
                if whole && alive && !self.links.contains_key(&(low, high)) {
                    self.serial += 1;
                    let link = self.serial;
                    self.links.insert((low, high), link);
                    self.raise(low, high, link);
                }
            }
        }
    }

    fn raise(&mut self, sched: usize, other: usize, link: u64) {
        if self.nodes[other].role != Role::Gate {
            return;
        }
        let peer = self.peer(other);
        self.tell_sched(sched, sched::Event::Up(LinkId(link), peer));
        let Peer { node, incarnation } = self.peer(sched);
        let link = LinkId(link);
        self.tell_gate(
            other,
            gate::Event::Up {
                link,
                node,
                incarnation,
            },
        );
    }

    fn unlink(&mut self, pair: (usize, usize)) {
        let Some(link) = self.links.remove(&pair) else {
            return;
        };
        for index in [pair.0, pair.1] {
            let delay = self.rng.random_range(1..NOTICE);
            let at = (index, self.nodes[index].incarnation);
            self.schedule(self.now + delay, Work::Down { at, link });
        }
    }

    fn peer(&self, index: usize) -> Peer {
        Peer {
            node: node_name(index),
            incarnation: self.nodes[index].incarnation,
        }
    }

    fn learn(&mut self, index: usize) {
        let due = (self.now + index as u64 * 7).is_multiple_of(POLL);
        if !due || !self.live(index) || self.nodes[index].deaf {
            return;
        }
        let asked = self.now.saturating_sub(self.rng.random_range(1..40));
        let known = self.states.iter().rposition(|(at, _)| *at <= asked);
        let offset = known.unwrap_or(0).max(self.nodes[index].offset);
        if offset > self.nodes[index].offset || self.nodes[index].learned == 0 {
            let state = Rc::clone(&self.states[offset].1);
            self.nodes[index].offset = offset;
            self.nodes[index].learned = self.now;
            self.tell_state(index, state);
        }
        let fresh = self.at(asked) + FRESH_FOR;
        match self.nodes[index].role {
            Role::Gate => self.tell_gate(index, gate::Event::Fresh(fresh)),
            _ => self.tell_sched(index, sched::Event::Fresh(fresh)),
        }
    }

    fn tell_state(&mut self, index: usize, state: Rc<State>) {
        if self.nodes[index].role == Role::Gate {
            return self.tell_gate(index, gate::Event::State(state));
        }
        let epoch = state.epoch;
        let early = self.fault == Break::NoHoldOff;
        let back = if early { 10_000 } else { 0 };
        let mut out = Vec::new();
        let now = self.at(self.now) - Duration::from_millis(back);
        if let Body::Sched(scheduler) = &mut self.nodes[index].body {
            scheduler.handle(now, sched::Event::State(state.clone()), &mut out);
        }
        self.carry_out(index, out);
        if self.fault == Break::NoWait {
            self.forge_reports(index, &state, epoch);
        }
        self.tell_sched(index, sched::Event::Tick);
    }

    /// Makes a ledger believe that every holder has reported that it holds nothing.
    fn forge_reports(&mut self, index: usize, state: &State, epoch: u64) {
        for (node, member) in state.members_of(Role::Sched) {
            let peer = Peer {
                node: node.clone(),
                incarnation: member.incarnation,
            };
            for team in state.teams.keys() {
                let permits = mimosastep::wire::Permits {
                    team: team.clone(),
                    epoch,
                    number: 1,
                    seen: 0,
                    held: 0,
                    wanted: 0,
                    adopted: epoch,
                    target: u32::MAX,
                    frozen: false,
                };
                let message = Message::Permits(permits);
                self.tell_sched(index, sched::Event::Permits(peer.clone(), message));
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.live(index) {
            return;
        }
        match self.nodes[index].role {
            Role::Gate => self.tell_gate(index, gate::Event::Tick),
            _ => self.tell_sched(index, sched::Event::Tick),
        }
    }

    fn tell_sched(&mut self, index: usize, event: sched::Event) {
        let now = self.at(self.now);
        let mut out = Vec::new();
        if let Body::Sched(scheduler) = &mut self.nodes[index].body {
            scheduler.handle(now, event, &mut out);
            scheduler.grant(now, &mut out);
        }
        self.carry_out(index, out);
    }

    fn carry_out(&mut self, index: usize, out: Vec<sched::Action>) {
        for action in out {
            match action {
                sched::Action::Send(link, message) => {
                    if let Some(to) = self.far_end(index, link.0) {
                        self.send(index, to, link.0, message);
                    }
                }
                sched::Action::Peer(peer, message) => self.send_peer(index, &peer, message),
                sched::Action::Note(_) => {}
            }
        }
    }

    fn tell_gate(&mut self, index: usize, event: gate::Event) {
        let now = self.at(self.now);
        let mut out = Vec::new();
        if let Body::Gate(gate) = &mut self.nodes[index].body {
            gate.handle(now, event, &mut out);
        }
        for action in out {
            match action {
                gate::Action::Send(link, message) => {
                    if let Some(to) = self.far_end(index, link.0) {
                        self.send(index, to, link.0, message);
                    }
                }
                gate::Action::Run { grant, team } => {
                    self.run(index, grant.attempt, grant.host, team)
                }
                gate::Action::Renew(_, attempts) => self.renew(&attempts),
                gate::Action::Cancel(_, attempts) => {
                    for attempt in attempts {
                        self.wasted += u64::from(self.tasks.remove(&attempt).is_some());
                        let at = (index, self.nodes[index].incarnation);
                        self.schedule(self.now + 2, Work::Settled { at, attempt });
                    }
                }
                gate::Action::Fail(request, failure) => {
                    self.refused += 1;
                    let after = failure.retry_after.unwrap_or(0);
                    self.settle(request, Some(after.into()));
                }
                gate::Action::Pass(_) | gate::Action::Abandon(..) | gate::Action::Note(_) => {}
            }
        }
    }

    fn far_end(&self, index: usize, link: u64) -> Option<usize> {
        let mut links = self.links.iter();
        let (pair, _) =
            links.find(|(pair, id)| **id == link && (pair.0 == index || pair.1 == index))?;
        Some(if pair.0 == index { pair.1 } else { pair.0 })
    }

    fn send_peer(&mut self, index: usize, peer: &Peer, mut message: Message) {
        let Some(to) = (0..self.scheds()).find(|other| self.peer(*other) == *peer) else {
            return;
        };
        let me = self.peer(index);
        match &mut message {
            Message::Permit(permit) => {
                let pair = (permit.team.clone(), me, peer.clone());
                self.sent.insert(pair, permit.number);
            }
            Message::Permits(permits) if self.fault == Break::BlindTrust => {
                let pair = (permits.team.clone(), peer.clone(), me);
                permits.seen = self.sent.get(&pair).copied().unwrap_or(0);
            }
            _ => {}
        }
        let Some(link) = self.links.get(&(index.min(to), index.max(to))).copied() else {
            return;
        };
        if self.lossy && self.rng.random_bool(0.1) {
            return;
        }
        if self.lossy && self.rng.random_bool(0.1) {
            let late = self.now + self.rng.random_range(1..3_000);
            self.post(late, index, to, link, message.clone());
        }
        self.send(index, to, link, message);
    }

    fn send(&mut self, from: usize, to: usize, link: u64, message: Message) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let soonest = self.last.get(&(from, to)).copied().unwrap_or(0);
        let slowest = if self.lossy { 40 } else { 4 };
        let at = (self.now + self.rng.random_range(1..slowest)).max(soonest);
        self.last.insert((from, to), at);
        self.post(at, from, to, link, message);
    }

    fn post(&mut self, at: u64, from: usize, to: usize, link: u64, message: Message) {
        let from = (from, self.nodes[from].incarnation);
        let to = (to, self.nodes[to].incarnation);
        let work = Work::Deliver {
            from,
            to,
            link,
            message,
        };
        self.schedule(at, work);
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
                self.tell_gate(index, gate::Event::Settled(attempt, Settled::Over));
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

    fn deliver(&mut self, from: (usize, u64), to: usize, link: LinkId, message: Message) {
        let peer = Peer {
            node: node_name(from.0),
            incarnation: from.1,
        };
        match message {
            Message::Grant(grant) => self.tell_gate(to, gate::Event::Grant(link, grant)),
            Message::Refuse(refusal) => self.tell_gate(to, gate::Event::Refuse(link, refusal)),
            Message::Ask(ask) => self.tell_sched(to, sched::Event::Ask(link, ask)),
            Message::Cancel(attempt) => self.tell_sched(to, sched::Event::Cancel(link, attempt)),
            Message::Finished { attempt, evidence } => {
                let event = sched::Event::Finished {
                    link,
                    attempt,
                    evidence,
                };
                self.tell_sched(to, event);
            }
            Message::Report { epoch, running } => {
                let event = sched::Event::Report {
                    link,
                    epoch,
                    running,
                };
                self.tell_sched(to, event);
            }
            message => self.tell_sched(to, sched::Event::Permits(peer, message)),
        }
    }

    fn settle(&mut self, request: RequestId, retry: Option<u64>) {
        if let Some(mut outcome) = self.open.remove(&request) {
            outcome.at = self.now;
            outcome.retry = retry;
            self.outcomes.push(outcome);
        }
    }

    fn run(&mut self, gate: usize, attempt: AttemptId, host: HostName, team: TeamName) {
        self.started += 1;
        self.settle(attempt.request, None);
        let run_ms = (self.run_ms)(&mut self.rng);
        let limit = self.limit_now(&team);
        let running = self.running(team.as_str());
        if running >= limit {
            let now = self.now;
            self.violations.push(format!(
                "{now} ms: {team} starts beside {running}, limit {limit}"
            ));
        }
        let task = Task {
            team,
            host,
            gate,
            incarnation: self.nodes[gate].incarnation,
            ends: self.now + run_ms,
            lease: self.now + LEASE,
        };
        self.tasks.insert(attempt, task);
    }

    /// The highest limit that a fresh state may still show.
    fn limit_now(&self, team: &TeamName) -> u32 {
        let since = self.now.saturating_sub(FRESH_FOR.as_millis() as u64);
        let after = self.states.partition_point(|(at, _)| *at < since);
        let states = &self.states[after.saturating_sub(1)..];
        let limits = states.iter().map(|(_, state)| state.teams[team].limit);
        limits.max().unwrap_or(0)
    }

    fn renew(&mut self, attempts: &[AttemptId]) {
        for attempt in attempts {
            if let Some(task) = self.tasks.get_mut(attempt) {
                task.lease = self.now + LEASE;
            }
        }
    }

    fn finish_tasks(&mut self) {
        let tasks = self.tasks.iter();
        let over: Vec<AttemptId> = tasks
            .filter(|(_, task)| task.ends.min(task.lease) <= self.now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in over {
            let gate = self.tasks[&attempt].gate;
            let lives =
                self.live(gate) && self.nodes[gate].incarnation == self.tasks[&attempt].incarnation;
            if lives {
                self.tasks.remove(&attempt);
                let ended = Ended::Answered;
                self.tell_gate(gate, gate::Event::Ended(attempt, ended));
            } else if self.tasks[&attempt].lease <= self.now {
                self.tasks.remove(&attempt);
            }
        }
    }
}
