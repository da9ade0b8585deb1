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
use crate::call::JobKind;
use crate::cluster;

/// Lease that gates request for a task.
const TASK_LEASE: Duration = Duration::from_millis(5_000);
/// How long a process treats its state as fresh after an update.
const FRESHNESS: Duration = Duration::from_millis(3_000);

/// A defect that is built in on purpose, to show that the invariants detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Some final answers are lost.
    LostAnswer,
    /// Final answers are given twice.
    DuplicateAnswer,
    /// Some responses carry the body of another request.
    MismatchedAnswer,
    /// An attempt whose connection broke is treated as not run.
    BrokenAsNotRun,
    /// Callers get the verdict "not run" instead of "unknown".
    UnknownAsNotRun,
    /// Backend servers start attempts that they had marked as refused.
    ForgottenRefusals,
    /// Requests that no caller sent add to the retry budgets.
    InflatedRetryBudgets,
    /// Gates treat a stale state as fresh.
    StaleState,
}

/// A fault that a scenario injects.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A random link closes and is reopened later.
    DropLink,
    /// Open connections to a backend server stop carrying data, without being closed.
    SilenceConnections(SocketAddr),
    /// The behaviour of a backend server changes.
    ModifyBackend(SocketAddr, fn(&mut Backend)),
    /// An operator takes a data centre out of service (false) or back in (true).
    MarkDc(u8, bool),
    /// A scheduler is killed.
    KillSched(usize),
    /// A gate is killed.
    KillGate(usize),
    /// A gate gets no state updates for this long.
    StallState(usize, Duration),
    /// This many requests at once, whose callers all disconnect soon after.
    Burst(u32),
}

#[derive(Debug)]
enum SimEvent {
    Gate(usize, gate::Event),
    Sched(usize, sched::Event),
    ToGate(LinkId, Message),
    ToSched(LinkId, Message),
    Arrive(usize, AttemptId, SocketAddr),
    Complete(AttemptId, SocketAddr),
    Reply(usize, AttemptId, AttemptOutcome, Option<RequestId>),
    Cancel(usize, SocketAddr, Vec<AttemptId>),
    Renew(usize, SocketAddr, Vec<AttemptId>),
    LeaseExpired(AttemptId, SocketAddr),
    TickGate(usize),
    TickSched(usize),
    Connect(usize, usize),
    Submit(JobKind),
    CallerGone(RequestId),
    Fault(Fault),
}

#[derive(Debug)]
struct LinkEnds {
    gate: usize,
    sched: usize,
    // Arrival time of the latest message in flight, by direction: to the scheduler, to the gate.
    last_arrival: [Instant; 2],
}

/// The simulation: its virtual clock, processes, network and backend servers.
pub struct Simulation {
    /// The built-in defect, if any.
    pub defect: Option<Defect>,
    /// Every request that was submitted.
    pub calls: BTreeMap<RequestId, Call>,
    /// Backend servers by address.
    pub backends: BTreeMap<SocketAddr, Backend>,
    /// Violations found while the simulation ran.
    pub violations: Vec<String>,
    /// Number of timeline notes, by kind.
    pub notes: BTreeMap<NoteKind, usize>,
    /// Probability that the connection of an exchange breaks.
    pub break_probability: f64,
    rng: StdRng,
    start: Instant,
    now: Instant,
    serial: u64,
    queue: BTreeMap<(Instant, u64), SimEvent>,
    state: Rc<State>,
    gates: Vec<Option<Gate>>,
    scheds: Vec<Option<Scheduler>>,
    links: BTreeMap<LinkId, LinkEnds>,
    silent_connections: BTreeSet<(usize, SocketAddr)>,
    inactive_since: BTreeMap<u8, Instant>,
    stalled_until: Vec<Instant>,
    renewal_due: BTreeMap<(usize, SocketAddr), Instant>,
}

impl Simulation {
    /// Returns a simulation without faults, except for the defect.
    pub fn new(seed: u64, defect: Option<Defect>) -> Self {
        let start = Instant::now();
        let mut sim = Self {
            defect,
            calls: BTreeMap::new(),
            backends: BTreeMap::new(),
            violations: Vec::new(),
            notes: BTreeMap::new(),
            break_probability: 0.01,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: start,
            serial: 0,
            queue: BTreeMap::new(),
            state: Rc::new(cluster::state()),
            gates: (0..cluster::PROCESSES)
                .map(|_| Some(Gate::default()))
                .collect(),
            scheds: (0..cluster::PROCESSES)
                .map(|i| Some(Scheduler::new(cluster::node(Role::Sched, i), 1)))
                .collect(),
            links: BTreeMap::new(),
            silent_connections: BTreeSet::new(),
            inactive_since: BTreeMap::new(),
            stalled_until: vec![start; cluster::PROCESSES],
            renewal_due: BTreeMap::new(),
        };
        for service in 0..cluster::SERVICES.len() {
            for index in 0..cluster::HOSTS {
                let forgets_refusals = defect == Some(Defect::ForgottenRefusals);
                let backend = Backend::new(cluster::SLOTS as usize, forgets_refusals);
                sim.backends.insert(cluster::addr(service, index), backend);
            }
        }
        sim.publish_state();
        for index in 0..cluster::PROCESSES {
            sim.push(0, SimEvent::TickGate(index));
            sim.push(0, SimEvent::TickSched(index));
            (0..cluster::PROCESSES).for_each(|sched| sim.push(1, SimEvent::Connect(index, sched)));
        }
        sim
    }

    /// Virtual time in milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.now.duration_since(self.start).as_millis() as u64
    }

    /// Schedules a fault at `at` milliseconds after the start.
    pub fn schedule_fault(&mut self, at: u64, fault: Fault) {
        let at = at.saturating_sub(self.now_ms());
        self.push(at, SimEvent::Fault(fault));
    }

    /// Schedules evenly spaced requests of one kind, between `from` and `until` milliseconds after
    /// the start.
    pub fn schedule_load(&mut self, from: u64, until: u64, per_second: u64, job: JobKind) {
        let count = (until - from) * per_second / 1_000;
        for index in 0..count {
            let at = from + index * 1_000 / per_second;
            let at = at.saturating_sub(self.now_ms());
            self.push(at, SimEvent::Submit(job));
        }
    }

    /// Runs the simulation until `millis` milliseconds after the start.
    pub fn run_until(&mut self, millis: u64) {
        let end = self.start + Duration::from_millis(millis);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    /// Number of requests that are pending in the running gates.
    pub fn pending(&self) -> usize {
        self.gates.iter().flatten().map(Gate::pending).sum()
    }

    fn push(&mut self, millis: u64, event: SimEvent) {
        self.push_at(self.now + Duration::from_millis(millis), event);
    }

    fn push_at(&mut self, at: Instant, event: SimEvent) {
        self.serial += 1;
        self.queue.insert((at, self.serial), event);
    }

    /// Draws a network delay: 1% are long, 10 to 300 ms, the others 0.3 to 2 ms.
    fn delay(&mut self) -> Duration {
        let micros = match self.rng.random_range(0..100) {
            0 => self.rng.random_range(10_000..300_000),
            _ => self.rng.random_range(300..2_000),
        };
        Duration::from_micros(micros)
    }

    fn publish_state(&mut self) {
        if self.defect == Some(Defect::StaleState) && self.now > self.start {
            return;
        }
        for index in 0..cluster::PROCESSES {
            let received = self.now.max(self.stalled_until[index]);
            let at = received + self.delay();
            let event = gate::Event::State(self.state.clone());
            self.push_at(at, SimEvent::Gate(index, event));
            let at = self.now + self.delay();
            let event = sched::Event::State(self.state.clone());
            self.push_at(at, SimEvent::Sched(index, event));
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Gate(index, event) => self.notify_gate(index, event),
            SimEvent::Sched(index, event) => self.notify_sched(index, event),
            SimEvent::ToGate(link, message) => {
                let Some(gate) = self.links.get(&link).map(|ends| ends.gate) else {
                    return;
                };
                match message {
                    Message::Grant(grant) => {
                        self.notify_gate(gate, gate::Event::Grant(link, grant))
                    }
                    Message::Refuse(refusal) => {
                        self.notify_gate(gate, gate::Event::Refuse(link, refusal))
                    }
                    other => self
                        .violations
                        .push(format!("unexpected message to a gate: {other:?}")),
                }
            }
            SimEvent::ToSched(link, message) => {
                if let Some(sched) = self.links.get(&link).map(|ends| ends.sched) {
                    self.notify_sched(sched, scheduler_event(link, message));
                }
            }
            SimEvent::Arrive(gate, attempt, addr) => self.arrive(gate, attempt, addr),
            SimEvent::Complete(attempt, addr) => self.finish(attempt, addr, false),
            SimEvent::LeaseExpired(attempt, addr) => {
                let task = self.backends[&addr].running.get(&attempt);
                if task.is_some_and(|task| task.lease_end <= self.now) {
                    self.finish(attempt, addr, true);
                }
            }
            SimEvent::Reply(gate, attempt, outcome, body) => {
                self.reply(gate, attempt, outcome, body)
            }
            SimEvent::Cancel(gate, addr, attempts) => self.cancel(gate, addr, attempts),
            SimEvent::Renew(gate, addr, attempts) => self.renew(gate, addr, attempts),
            SimEvent::TickGate(index) => self.tick_gate(index),
            SimEvent::TickSched(index) => {
                self.notify_sched(index, sched::Event::Fresh(self.now + FRESHNESS));
                self.notify_sched(index, sched::Event::Tick);
                self.push(20, SimEvent::TickSched(index));
            }
            SimEvent::Connect(gate, sched) => self.connect(gate, sched),
            SimEvent::Submit(job) => {
                self.submit(job);
            }
            SimEvent::CallerGone(request) => self.abandon(request),
            SimEvent::Fault(fault) => self.inject_fault(fault),
        }
    }

    fn tick_gate(&mut self, index: usize) {
        if self.stalled_until[index] <= self.now || self.defect == Some(Defect::StaleState) {
            self.notify_gate(index, gate::Event::Fresh(self.now + FRESHNESS));
        }
        if self.defect == Some(Defect::InflatedRetryBudgets) {
            self.inflate_budgets(index);
        }
        self.notify_gate(index, gate::Event::Tick);
        self.push(50, SimEvent::TickGate(index));
    }

    /// Adds to the retry budgets by requests that no caller sent.
    fn inflate_budgets(&mut self, index: usize) {
        for service in 0..cluster::SERVICES.len() {
            for _ in 0..10 {
                let mut submission = self.submission(service, true);
                submission.request = RequestId(u128::MAX);
                self.notify_gate(index, gate::Event::Submit(submission));
                self.notify_gate(index, gate::Event::CallerGone(RequestId(u128::MAX)));
            }
        }
    }
}

fn scheduler_event(link: LinkId, message: Message) -> sched::Event {
    match message {
        Message::SlotRequest(ask) => sched::Event::SlotRequest(link, ask),
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
        other => panic!("unexpected message to a scheduler: {other:?}"),
    }
}
