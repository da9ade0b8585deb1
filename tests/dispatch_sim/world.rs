//! Gates and schedulers on a simulated network, in virtual time.

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
use mimosastep::gate::Ended;
use mimosastep::gate::Gate;
use mimosastep::gate::Settled;
use mimosastep::gate::Submission;
use mimosastep::net::LinkId;
use mimosastep::observe::NoteKind;
use mimosastep::record::KeyHash;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::sched;
use mimosastep::sched::Scheduler;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Grant;
use mimosastep::wire::Message;
use mimosastep::wire::RequestId;
use mimosastep::wire::Verdict;

use crate::backend::Backend;
use crate::backend::Task;
use crate::call::Answer;
use crate::call::Call;
use crate::call::Job;
use crate::site;

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
    Reply(usize, AttemptId, Ended, Option<RequestId>),
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
pub struct World {
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

impl World {
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
            state: Rc::new(site::state()),
            gates: (0..site::PROCESSES)
                .map(|_| Some(Gate::default()))
                .collect(),
            scheds: (0..site::PROCESSES)
                .map(|i| Some(Scheduler::new(site::node(Role::Sched, i), 1)))
                .collect(),
            links: BTreeMap::new(),
            silent: BTreeSet::new(),
            out_since: BTreeMap::new(),
            cut_until: vec![start; site::PROCESSES],
            renewed: BTreeMap::new(),
        };
        for service in 0..site::SERVICES.len() {
            for index in 0..site::HOSTS {
                let forgetful = broken == Some(Break::Forgetful);
                let backend = Backend::open(site::SLOTS as usize, forgetful);
                world.backends.insert(site::addr(service, index), backend);
            }
        }
        world.publish();
        for index in 0..site::PROCESSES {
            world.push(0, Item::TickGate(index));
            world.push(0, Item::TickSched(index));
            (0..site::PROCESSES).for_each(|sched| world.push(1, Item::Connect(index, sched)));
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
        for index in 0..site::PROCESSES {
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
        for service in 0..site::SERVICES.len() {
            for _ in 0..10 {
                let mut submission = self.submission(service, true);
                submission.request = RequestId(u128::MAX);
                self.gate(index, gate::Event::Submit(submission));
                self.gate(index, gate::Event::Gone(RequestId(u128::MAX)));
            }
        }
    }

    fn gate(&mut self, index: usize, event: gate::Event) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(gate) = &mut self.gates[index] {
            gate.handle(now, event, &mut out);
        }
        out.into_iter().for_each(|action| self.act(index, action));
    }

    fn sched(&mut self, index: usize, event: sched::Event) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(sched) = &mut self.scheds[index] {
            sched.handle(now, event, &mut out);
            sched.grant(now, &mut out);
        }
        for action in out {
            match action {
                sched::Action::Send(link, message) => {
                    self.send(link, 1, Item::ToGate(link, message));
                }
                sched::Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
            }
        }
    }

    /// Puts a message on a link, behind those that are on their way in the same direction.
    fn send(&mut self, link: LinkId, direction: usize, item: Item) {
        let delay = self.delay();
        let Some(ends) = self.links.get_mut(&link) else {
            return;
        };
        let at = (self.now + delay).max(ends.last[direction]);
        ends.last[direction] = at;
        self.push_at(at, item);
    }

    fn act(&mut self, gate: usize, action: gate::Action) {
        match action {
            gate::Action::Send(link, message) => {
                self.send(link, 0, Item::ToSched(link, message));
            }
            gate::Action::Run { grant, .. } => self.start(gate, grant),
            gate::Action::Pass(request) => {
                let held = self.calls.get(&request).and_then(|call| call.held);
                let body = held.unwrap_or(RequestId(0));
                self.answer(request, Answer::Error(body));
            }
            gate::Action::Fail(request, failure) => {
                let mut verdict = failure.verdict;
                if self.broken == Some(Break::UnknownIsNotRun) && verdict == Verdict::Unknown {
                    verdict = Verdict::NotRun;
                }
                self.answer(request, Answer::Failure(failure.code, verdict));
            }
            gate::Action::Abandon(request, addr) => {
                self.silent.remove(&(gate, addr));
                if let Some(call) = self.calls.get_mut(&request) {
                    call.open = None;
                }
            }
            gate::Action::Renew(addr, attempts) => {
                let due = self.renewed.entry((gate, addr)).or_insert(self.now);
                if *due <= self.now {
                    *due = self.now + Duration::from_secs(1);
                    self.control(Item::Renew(gate, addr, attempts));
                }
            }
            gate::Action::Cancel(addr, attempts) => {
                self.control(Item::Cancel(gate, addr, attempts));
            }
            gate::Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
        }
    }

    fn control(&mut self, item: Item) {
        let at = self.now + self.delay();
        self.push_at(at, item);
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        let now = self.millis();
        let lost = self.broken == Some(Break::LostAnswer) && request.0.is_multiple_of(7);
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.open = None;
        if lost {
            return;
        }
        call.times.1 = now;
        if self.broken == Some(Break::SecondAnswer) {
            call.answers.push(answer.clone());
        }
        call.answers.push(answer);
    }

    /// Sends a request to a backend server.
    fn start(&mut self, gate: usize, grant: Grant) {
        let attempt = grant.attempt;
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        call.runs += 1;
        call.open = Some(attempt);
        if self.backends[&grant.addr].down {
            let ended = Ended::NotRun(Evidence::Unreachable);
            self.push(1, Item::Reply(gate, attempt, ended, None));
            return;
        }
        let delay = self.delay();
        let arrive = Item::Arrive(gate, attempt, grant.addr);
        if self.silent.contains(&(gate, grant.addr)) {
            // Bytes on a silent connection get lost, or come through late.
            if self.rng.random_bool(0.3) {
                let late = self.rng.random_range(2_000..6_000);
                self.push(late, arrive);
            }
            return;
        }
        let breaks = self.rng.random_bool(self.breakage);
        let sent = !breaks || self.rng.random_bool(0.5);
        if sent {
            self.push_at(self.now + delay, arrive);
        }
        if breaks {
            let after = self.rng.random_range(0..100);
            self.push(after, Item::Reply(gate, attempt, Ended::Unknown, None));
        }
    }

    fn arrive(&mut self, gate: usize, attempt: AttemptId, addr: SocketAddr) {
        let run = self.rng.random_range(5..150);
        let lease = self.now + LEASE;
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        let fails = backend.fail_all || call.job == Job::Failing;
        let task = Task { gate, lease, fails };
        if !backend.start(attempt, task) {
            let ended = Ended::NotRun(Evidence::Nothing);
            let at = self.now + self.delay();
            self.push_at(at, Item::Reply(gate, attempt, ended, None));
            return;
        }
        call.starts += 1;
        let (fail_all, hang) = (backend.fail_all, backend.hang);
        self.check_start(addr);
        self.push_at(lease, Item::Lapse(attempt, addr));
        if fail_all {
            self.push(0, Item::Due(attempt, addr));
        } else if !hang {
            self.push(run, Item::Due(attempt, addr));
        }
    }

    /// No start long after the data centre was taken out.
    fn check_start(&mut self, addr: SocketAddr) {
        let host = self.state.hosts.values().find(|host| host.addr == addr);
        let host = host.expect("a host");
        let index = (0..3).find(|index| site::dc(*index) == host.dc);
        let since = index.and_then(|index| self.out_since.get(&index));
        if let Some(since) = since
            && self.now > *since + FRESH + Duration::from_secs(2)
        {
            self.found.push(format!("start at {addr}, taken out"));
        }
    }

    fn finish(&mut self, attempt: AttemptId, addr: SocketAddr, lapsed: bool) {
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        let Some(task) = backend.running.remove(&attempt) else {
            return;
        };
        let ended = if task.fails || lapsed {
            Ended::Failed
        } else {
            Ended::Answered
        };
        if self.silent.contains(&(task.gate, addr)) {
            return;
        }
        let crossed =
            self.broken == Some(Break::CrossedAnswer) && attempt.request.0.is_multiple_of(5);
        let body = RequestId(attempt.request.0 + u128::from(crossed));
        let at = self.now + self.delay();
        self.push_at(at, Item::Reply(task.gate, attempt, ended, Some(body)));
    }

    fn reply(
        &mut self,
        gate: usize,
        attempt: AttemptId,
        mut ended: Ended,
        body: Option<RequestId>,
    ) {
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        if call.open != Some(attempt) || call.gone {
            return;
        }
        call.open = None;
        match ended {
            Ended::Answered => {
                let body = body.expect("a body");
                self.answer(attempt.request, Answer::Service(body));
            }
            Ended::Failed => call.held = body,
            Ended::Unknown if self.broken == Some(Break::BrokenIsNotRun) => {
                ended = Ended::NotRun(Evidence::Nothing);
            }
            Ended::Unknown | Ended::NotRun(_) => {}
        }
        self.gate(gate, gate::Event::Ended(attempt, ended));
    }

    fn cancel(&mut self, gate: usize, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let lost = self.rng.random_bool(0.02);
        let effect = !lost || self.rng.random_bool(0.5);
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        if backend.down || (lost && !effect) {
            for attempt in attempts {
                let event = gate::Event::Settled(attempt, Settled::Unreachable);
                self.push(1_000, Item::Gate(gate, event));
            }
            return;
        }
        let settled: Vec<_> = attempts.iter().map(|a| (*a, backend.cancel(*a))).collect();
        for (attempt, settled) in settled {
            let (wait, settled) = match lost {
                true => (Duration::from_secs(1), Settled::Unreachable),
                false => (self.delay(), settled),
            };
            let event = gate::Event::Settled(attempt, settled);
            self.push_at(self.now + wait, Item::Gate(gate, event));
        }
    }

    fn renew(&mut self, gate: usize, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let lease = self.now + LEASE;
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        if backend.down {
            return;
        }
        let mut unknown = attempts.clone();
        unknown.retain(|attempt| match backend.running.get_mut(attempt) {
            Some(task) => {
                task.lease = lease;
                false
            }
            None => true,
        });
        for attempt in attempts {
            self.push_at(lease, Item::Lapse(attempt, addr));
        }
        let at = self.now + self.delay();
        self.push_at(at, Item::Gate(gate, gate::Event::Unknown(unknown)));
    }

    fn submission(&mut self, service: usize, idempotent: bool) -> Submission {
        let team = site::TEAMS[self.rng.random_range(0..site::TEAMS.len())];
        self.number += 1;
        Submission {
            request: RequestId(u128::from(self.number) * 2),
            caller: None,
            service: site::SERVICES[service].parse().expect("a name"),
            key: Some(KeyHash::of(team.as_bytes())),
            urgent: false,
            idempotent,
            deadline: self.now + Duration::from_millis(self.rng.random_range(3_000..12_000)),
        }
    }

    fn submit(&mut self, job: Job) -> RequestId {
        let live: Vec<usize> = (0..self.gates.len())
            .filter(|i| self.gates[*i].is_some())
            .collect();
        let gate = live[self.rng.random_range(0..live.len())];
        let service = self.rng.random_range(0..site::SERVICES.len());
        let idempotent = self.rng.random_bool(0.5);
        let submission = self.submission(service, idempotent);
        let request = submission.request;
        let call = Call {
            gate,
            service,
            idempotent,
            job,
            times: (self.millis(), 0),
            runs: 0,
            starts: 0,
            answers: Vec::new(),
            gone: false,
            open: None,
            held: None,
        };
        self.calls.insert(request, call);
        self.gate(gate, gate::Event::Submit(submission));
        request
    }

    fn go(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !call.answers.is_empty() || call.gone {
            return;
        }
        call.gone = true;
        let gate = call.gate;
        self.gate(gate, gate::Event::Gone(request));
    }

    fn connect(&mut self, gate: usize, sched: usize) {
        if self.gates[gate].is_none() || self.scheds[sched].is_none() {
            return;
        }
        self.number += 1;
        let link = LinkId(self.number);
        let ends = LinkEnds {
            gate,
            sched,
            last: [self.now; 2],
        };
        self.links.insert(link, ends);
        let event = gate::Event::Up {
            link,
            node: site::node(Role::Sched, sched),
            incarnation: 1,
        };
        self.gate(gate, event);
    }

    /// Ends a link; its ends hear of it at different times.
    fn lose(&mut self, link: LinkId, within: u64) {
        let Some(ends) = self.links.remove(&link) else {
            return;
        };
        let (first, second) = (
            self.rng.random_range(0..within),
            self.rng.random_range(0..within),
        );
        self.push(first, Item::Gate(ends.gate, gate::Event::Down(link)));
        self.push(second, Item::Sched(ends.sched, sched::Event::Down(link)));
        self.push(within, Item::Connect(ends.gate, ends.sched));
    }

    fn break_down(&mut self, fault: Fault) {
        match fault {
            Fault::LoseLink => {
                let links: Vec<LinkId> = self.links.keys().copied().collect();
                if !links.is_empty() {
                    let link = links[self.rng.random_range(0..links.len())];
                    self.lose(link, 200);
                }
            }
            Fault::Silence(addr) => {
                (0..site::PROCESSES).for_each(|gate| {
                    self.silent.insert((gate, addr));
                });
            }
            Fault::Alter(addr, alter) => {
                let backend = self.backends.get_mut(&addr).expect("a backend server");
                alter(backend);
            }
            Fault::MarkDc(index, active) => {
                match active {
                    true => self.out_since.remove(&index),
                    false => self.out_since.insert(index, self.now),
                };
                let state = Rc::make_mut(&mut self.state);
                state.dcs.insert(site::dc(index), active);
                self.publish();
            }
            Fault::KillSched(index) => {
                self.scheds[index] = None;
                self.end_links(|ends| ends.sched == index);
                self.end_member(Role::Sched, index);
            }
            Fault::KillGate(index) => {
                self.gates[index] = None;
                self.end_links(|ends| ends.gate == index);
                self.end_member(Role::Gate, index);
                for call in self.calls.values_mut().filter(|call| call.gate == index) {
                    call.gone |= call.answers.is_empty();
                }
            }
            Fault::CutGate(index, span) => self.cut_until[index] = self.now + span,
            Fault::Wave(count) => {
                for _ in 0..count {
                    let request = self.submit(Job::Sound);
                    let after = self.rng.random_range(100..200);
                    self.push(after, Item::Gone(request));
                }
            }
        }
    }

    fn end_links(&mut self, of: impl Fn(&LinkEnds) -> bool) {
        let links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, ends)| of(ends))
            .map(|(link, _)| *link)
            .collect();
        links.into_iter().for_each(|link| self.lose(link, 2_000));
    }

    fn end_member(&mut self, role: Role, index: usize) {
        let state = Rc::make_mut(&mut self.state);
        state.members.remove(&site::node(role, index));
        state.epoch += 1;
        self.publish();
    }
}

fn sched_event(link: LinkId, message: Message) -> sched::Event {
    match message {
        Message::Ask(ask) => sched::Event::Ask(link, ask),
        Message::Cancel(attempt) => sched::Event::Cancel(attempt),
        Message::Finished { attempt, evidence } => sched::Event::Finished { attempt, evidence },
        Message::Report { epoch, running } => sched::Event::Report {
            link,
            epoch,
            running,
        },
        other => panic!("to a scheduler: {other:?}"),
    }
}
