//! Gates and schedulers on a simulated network, in virtual time.

mod calls;
mod faults;
mod messages;
mod tasks;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use mimosastep::gate;
use mimosastep::gate::AttemptOutcome;
use mimosastep::gate::Gate;
use mimosastep::net::LinkId;
use mimosastep::observe::NoteKind;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::sched;
use mimosastep::sched::Scheduler;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Message;
use mimosastep::wire::RequestId;

use crate::backend::Backend;
use crate::call::Call;
use crate::call::Job;
use crate::cluster;

/// Lease of a task, as gates ask for it.
const LEASE: Duration = Duration::from_millis(5_000);
/// How long a process's state counts as recent.
const FRESH: Duration = Duration::from_millis(3_000);

/// A rule's violation, built in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// Some final answers of the gate are lost.
    LostAnswer,
    /// Some final answers of the gate are given twice.
    SecondAnswer,
    /// Answers of one backend server are crossed.
    CrossedAnswer,
    /// A broken connection counts as not run.
    BrokenIsNotRun,
    /// An unknown verdict is told as not run.
    UnknownIsNotRun,
    /// Backend servers start what they promised to refuse.
    Forgetful,
    /// Requests that nobody sent pay for retries.
    UnpaidRetries,
    /// Gates count an old state as recent.
    OldState,
}

/// Faults that the world can be told to have.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A link ends, and a new one stands later.
    LoseLink,
    /// Every open connection to a backend server goes silent.
    Silence(SocketAddr),
    /// A backend server changes its ways.
    Alter(SocketAddr, fn(&mut Backend)),
    /// Operators mark a data centre.
    MarkDc(u8, bool),
    /// A scheduler dies.
    KillSched(usize),
    /// A gate dies.
    KillGate(usize),
    /// A gate hears no news of the state for this long.
    CutGate(usize, Duration),
    /// So many requests at once, whose callers then all go away.
    Wave(u32),
}

#[derive(Debug)]
enum Item {
    Gate(usize, gate::Event),
    Sched(usize, sched::Event),
    ToGate(LinkId, Message),
    ToSched(LinkId, Message),
    Arrive(usize, AttemptId, SocketAddr),
    Due(AttemptId, SocketAddr),
    Reply(usize, AttemptId, AttemptOutcome, Option<RequestId>),
    Cancel(usize, SocketAddr, Vec<AttemptId>),
    Renew(usize, SocketAddr, Vec<AttemptId>),
    Lapse(AttemptId, SocketAddr),
    TickGate(usize),
    TickSched(usize),
    Connect(usize, usize),
    Submit(Job),
    Gone(RequestId),
    Fault(Fault),
}

#[derive(Debug)]
struct LinkEnds {
    gate: usize,
    sched: usize,
    // When the last message on its way arrives, by direction.
    last: [Instant; 2],
}

/// The whole simulation.
pub struct Simulation {
    /// What is broken on purpose.
    pub broken: Option<Break>,
    /// Every request.
    pub calls: BTreeMap<RequestId, Call>,
    /// Backend servers.
    pub backends: BTreeMap<SocketAddr, Backend>,
    /// What a rule found while the world ran.
    pub found: Vec<String>,
    /// Notes of the time line, by kind.
    pub notes: BTreeMap<NoteKind, usize>,
    /// Part of the exchanges that break.
    pub breakage: f64,
    rng: StdRng,
    start: Instant,
    now: Instant,
    number: u64,
    queue: BTreeMap<(Instant, u64), Item>,
    state: Rc<State>,
    gates: Vec<Option<Gate>>,
    scheds: Vec<Option<Scheduler>>,
    links: BTreeMap<LinkId, LinkEnds>,
    silent: BTreeSet<(usize, SocketAddr)>,
    out_since: BTreeMap<u8, Instant>,
    cut_until: Vec<Instant>,
    renewed: BTreeMap<(usize, SocketAddr), Instant>,
}

impl Simulation {
    /// A world in which everything is in order.
    pub fn open(seed: u64, broken: Option<Break>) -> Self {
        let start = Instant::now();
        let mut world = Self {
            broken,
            calls: BTreeMap::new(),
            backends: BTreeMap::new(),
            found: Vec::new(),
            notes: BTreeMap::new(),
            breakage: 0.01,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: start,
            number: 0,
            queue: BTreeMap::new(),
            state: Rc::new(cluster::state()),
            gates: (0..cluster::PROCESSES)
                .map(|_| Some(Gate::default()))
                .collect(),
            scheds: (0..cluster::PROCESSES)
                .map(|i| Some(Scheduler::new(cluster::node(Role::Sched, i), 1)))
                .collect(),
            links: BTreeMap::new(),
            silent: BTreeSet::new(),
            out_since: BTreeMap::new(),
            cut_until: vec![start; cluster::PROCESSES],
            renewed: BTreeMap::new(),
        };
        for service in 0..cluster::SERVICES.len() {
            for index in 0..cluster::HOSTS {
                let forgetful = broken == Some(Break::Forgetful);
                let backend = Backend::open(cluster::SLOTS as usize, forgetful);
                world
                    .backends
                    .insert(cluster::addr(service, index), backend);
            }
        }
        world.publish();
        for index in 0..cluster::PROCESSES {
            world.push(0, Item::TickGate(index));
            world.push(0, Item::TickSched(index));
            (0..cluster::PROCESSES).for_each(|sched| world.push(1, Item::Connect(index, sched)));
        }
        world
    }

    /// Milliseconds since the start.
    pub fn millis(&self) -> u64 {
        self.now.duration_since(self.start).as_millis() as u64
    }

    /// Plans a fault.
    pub fn fault(&mut self, at: u64, fault: Fault) {
        let at = at.saturating_sub(self.millis());
        self.push(at, Item::Fault(fault));
    }

    /// Plans requests of one kind, evenly spread.
    pub fn load(&mut self, from: u64, until: u64, per_second: u64, job: Job) {
        let count = (until - from) * per_second / 1_000;
        for index in 0..count {
            let at = from + index * 1_000 / per_second;
            let at = at.saturating_sub(self.millis());
            self.push(at, Item::Submit(job));
        }
    }

    /// Lets time pass up to so many milliseconds after the start.
    pub fn run_until(&mut self, millis: u64) {
        let end = self.start + Duration::from_millis(millis);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let item = entry.remove();
            self.handle(item);
        }
        self.now = end;
    }

    /// What the gates that live still have to do.
    pub fn pending(&self) -> usize {
        self.gates.iter().flatten().map(Gate::pending).sum()
    }

    fn push(&mut self, millis: u64, item: Item) {
        self.push_at(self.now + Duration::from_millis(millis), item);
    }

    fn push_at(&mut self, at: Instant, item: Item) {
        self.number += 1;
        self.queue.insert((at, self.number), item);
    }

    /// A delay on the network, seldom a long one.
    fn delay(&mut self) -> Duration {
        let micros = match self.rng.random_range(0..100) {
            0 => self.rng.random_range(10_000..300_000),
            _ => self.rng.random_range(300..2_000),
        };
        Duration::from_micros(micros)
    }

    fn publish(&mut self) {
        if self.broken == Some(Break::OldState) && self.now > self.start {
            return;
        }
        for index in 0..cluster::PROCESSES {
            let heard = self.now.max(self.cut_until[index]);
            let at = heard + self.delay();
            let event = gate::Event::State(self.state.clone());
            self.push_at(at, Item::Gate(index, event));
            let at = self.now + self.delay();
            let event = sched::Event::State(self.state.clone());
            self.push_at(at, Item::Sched(index, event));
        }
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Gate(index, event) => self.gate(index, event),
            Item::Sched(index, event) => self.sched(index, event),
            Item::ToGate(link, message) => {
                let Some(gate) = self.links.get(&link).map(|ends| ends.gate) else {
                    return;
                };
                match message {
                    Message::Grant(grant) => self.gate(gate, gate::Event::Grant(link, grant)),
                    Message::Refuse(no) => self.gate(gate, gate::Event::Refuse(link, no)),
                    other => self.found.push(format!("to a gate: {other:?}")),
                }
            }
            Item::ToSched(link, message) => {
                if let Some(sched) = self.links.get(&link).map(|ends| ends.sched) {
                    self.sched(sched, sched_event(link, message));
                }
            }
            Item::Arrive(gate, attempt, addr) => self.arrive(gate, attempt, addr),
            Item::Due(attempt, addr) => self.finish(attempt, addr, false),
            Item::Lapse(attempt, addr) => {
                let task = self.backends[&addr].running.get(&attempt);
                if task.is_some_and(|task| task.lease <= self.now) {
                    self.finish(attempt, addr, true);
                }
            }
            Item::Reply(gate, attempt, ended, body) => self.reply(gate, attempt, ended, body),
            Item::Cancel(gate, addr, attempts) => self.cancel(gate, addr, attempts),
            Item::Renew(gate, addr, attempts) => self.renew(gate, addr, attempts),
            Item::TickGate(index) => self.tick_gate(index),
            Item::TickSched(index) => {
                self.sched(index, sched::Event::Fresh(self.now + FRESH));
                self.sched(index, sched::Event::Tick);
                self.push(20, Item::TickSched(index));
            }
            Item::Connect(gate, sched) => self.connect(gate, sched),
            Item::Submit(job) => {
                self.submit(job);
            }
            Item::Gone(request) => self.go(request),
            Item::Fault(fault) => self.break_down(fault),
        }
    }

    fn tick_gate(&mut self, index: usize) {
        if self.cut_until[index] <= self.now || self.broken == Some(Break::OldState) {
            self.gate(index, gate::Event::Fresh(self.now + FRESH));
        }
        if self.broken == Some(Break::UnpaidRetries) {
            self.pay(index);
        }
        self.gate(index, gate::Event::Tick);
        self.push(50, Item::TickGate(index));
    }

    /// Lets requests that nobody sent pay for retries.
    fn pay(&mut self, index: usize) {
        for service in 0..cluster::SERVICES.len() {
            for _ in 0..10 {
                let mut submission = self.submission(service, true);
                submission.request = RequestId(u128::MAX);
                self.gate(index, gate::Event::Submit(submission));
                self.gate(index, gate::Event::CallerGone(RequestId(u128::MAX)));
            }
        }
    }
}

fn sched_event(link: LinkId, message: Message) -> sched::Event {
    match message {
        Message::Ask(ask) => sched::Event::Ask(link, ask),
        Message::Cancel(attempt) => sched::Event::Cancel(link, attempt),
        Message::Finished { attempt, evidence } => sched::Event::Finished {
            link,
            attempt,
            evidence,
        },
        Message::Report { epoch, running } => sched::Event::Report {
            link,
            epoch,
            running,
        },
        other => panic!("to a scheduler: {other:?}"),
    }
}
