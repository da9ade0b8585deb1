//! A site in memory, in virtual time: owners, executors and hosts, and the log.

mod carrying_out;
mod leader;
mod machines;
mod operators;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::BatchState;
use mimosastep::batch::Directives;
use mimosastep::batch::Dispatcher;
use mimosastep::batch::Event;
use mimosastep::batch::Job;
use mimosastep::batch::JobId;
use mimosastep::batch::JobState;
use mimosastep::batch::Now;
use mimosastep::batch::OwnerRequest;
use mimosastep::batch::OwnerResponse;
use mimosastep::batch::Policy;
use mimosastep::batch::Pool;
use mimosastep::batch::Queue;
use mimosastep::batch::Record;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::batch::TaskId;
use mimosastep::batch::WaveState;
use mimosastep::name::ExecutorId;
use mimosastep::name::HostName;
use mimosastep::name::NodeName;
use mimosastep::name::QueueName;
use mimosastep::name::ServiceName;
use mimosastep::name::TeamName;
use slog::Discard;
use slog::Logger;
use slog::o;

use crate::fake::Fake;
pub use crate::world::leader::Fate;
use crate::world::leader::Leader;

/// Time between two looks at the world, in milliseconds.
const STEP_MS: u64 = 5;
/// Time that an order and its answer take, in milliseconds.
const TRIP_MS: u64 = 5;
/// Time that a host is away for a move or its upkeep, in milliseconds.
const AWAY_MS: u64 = 1_500;
/// Processor of a host, in thousandths of a core.
pub const HOST_CPU: u64 = 16_000;

/// What a task of a job does, by its id and run.
pub type Script = Box<dyn Fn(&TaskId, u64) -> (u64, RunOutcome)>;

/// A host and the executor that is its present life.
struct Machine {
    pool: ServiceName,
    executor: Option<ExecutorId>,
    back: Option<Instant>,
    moving: bool,
}

/// The site.
pub struct World {
    pub now: Now,
    /// Owners that give orders, the elected one last.
    pub leaders: Vec<Leader>,
    pub fakes: BTreeMap<ExecutorId, Fake>,
    machines: BTreeMap<HostName, Machine>,
    // Executors that are no more and still listed.
    stale: Vec<(ExecutorId, HostName, ServiceName)>,
    pub directives: Directives,
    pub records: Vec<Record>,
    pub script: Script,
    /// Tail of serving tasks by the pace of the fill work beside them, in milliseconds.
    pub tail: Box<dyn Fn(u64) -> u64>,
    /// The owner reads the log late.
    pub behind: bool,
    /// Executors that are about to leave.
    pub leaving: BTreeSet<ExecutorId>,
    /// Answers of starts that are lost from now on.
    pub lost: usize,
    /// Answers of orders to stop that are lost from now on.
    pub lost_stops: usize,
    /// When tasks began, in order.
    pub starts: Vec<(Instant, TaskId, u64, ExecutorId)>,
    pub done: BTreeSet<TaskId>,
    pub told: BTreeMap<u64, WaveState>,
    pub downs: Vec<HostName>,
    pub paces: Vec<(TaskId, u64)>,
    pub moves: usize,
    /// Questions to the advice service, which allows all executors but the first asked for.
    pub consulted: usize,
    /// Host-milliseconds in pools that are not spare.
    pub paid: u64,
    lives: u64,
    listed: Instant,
    spare: Option<ServiceName>,
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}

pub fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a name")
}

pub fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an id")
}

/// A step of tasks of one core and one second.
pub fn step(count: u32) -> Step {
    Step {
        count,
        demand: Resources {
            cpu: 1_000,
            memory: 100,
            gpu: 0,
        },
        estimate: 1_000,
        ..Step::default()
    }
}

/// A step of tasks that last, at most one on an executor, of which one may be away.
pub fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        spread: Some(1),
        away: Some(1),
        ..step(count)
    }
}

impl World {
    /// A site with pools of so many hosts each; the pool `spare` is off.
    pub fn new(pools: &[(&str, usize)]) -> Self {
        let begun = Instant::now();
        let now = Now {
            at: begun,
            unix: 1_000_000,
        };
        let log = Logger::root(Discard, o!());
        let node = NodeName::new("node-1").expect("a name");
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
        let mut world = Self {
            now,
            leaders: vec![Leader::new(Dispatcher::new(
                now,
                1,
                node,
                BatchState::default(),
                log,
            ))],
            fakes: BTreeMap::new(),
            machines: BTreeMap::new(),
            stale: Vec::new(),
            directives,
            records: vec![took],
            script: Box::new(|_, _| (1_000, RunOutcome::Done)),
            tail: Box::new(|_| 0),
            behind: false,
            leaving: BTreeSet::new(),
            lost: 0,
            lost_stops: 0,
            starts: Vec::new(),
            done: BTreeSet::new(),
            told: BTreeMap::new(),
            downs: Vec::new(),
            paces: Vec::new(),
            moves: 0,
            consulted: 0,
            paid: 0,
            lives: 0,
            listed: begun,
            spare: None,
        };
        for (name, count) in pools {
            for number in 0..*count {
                let host = HostName::new(&format!("{name}-{number}")).expect("a name");
                let machine = Machine {
                    pool: service(name),
                    executor: None,
                    back: Some(begun),
                    moving: false,
                };
                world.machines.insert(host, machine);
            }
            if *name == "spare" {
                world.spare = Some(service(name));
            }
        }
        let directives = world.directives.clone();
        world
            .leader()
            .dispatcher
            .handle(now, Event::Directives(directives));
        world.run(4_000);
        world
    }

    /// The elected owner.
    pub fn leader(&mut self) -> &mut Leader {
        self.leaders.last_mut().expect("an owner")
    }

    /// Whether the elected owner has given up.
    pub fn abdicated(&self) -> bool {
        self.leaders.last().is_none_or(|leader| leader.abdicated)
    }

    /// Another owner takes over from the log, with the next fence; the one before is no more.
    pub fn take_over(&mut self, fence: u64) {
        self.elect(fence);
        let earlier = self.leaders.len() - 1;
        self.leaders.drain(..earlier);
    }

    /// Another owner takes over from the log, with the next fence, and the one before goes on as
    /// long as nobody stops it.
    pub fn hand_over(&mut self, fence: u64, fate: Fate) {
        let now = self.now.at;
        self.leader().lose(now, fate);
        self.elect(fence);
    }

    fn elect(&mut self, fence: u64) {
        let mut state = BatchState::default();
        let node = NodeName::new(&format!("node-{fence}")).expect("a name");
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
        let mut leader = Leader::new(dispatcher);
        leader.cut.clone_from(&self.leader().cut);
        self.leaders.push(leader);
        self.list();
    }

    /// Hands a job in.
    pub fn submit(&mut self, number: u64, pool: &str, steps: Vec<Step>) -> JobId {
        self.submit_as(None, number, pool, steps)
    }

    /// Hands a job of a team in.
    pub fn submit_as(
        &mut self,
        team: Option<TeamName>,
        number: u64,
        pool: &str,
        steps: Vec<Step>,
    ) -> JobId {
        let job = Job {
            id: id(number),
            queue: QueueName::new(pool).expect("a name"),
            service: service(pool),
            team,
            spec: Arc::from("work"),
            steps,
            attempts: 3,
            schedule: None,
            accepted: self.now.unix,
        };
        self.write(Record::Accepted(job));
        id(number)
    }

    /// The log takes again what it did not.
    pub fn light(&mut self) {
        let now = self.now.at;
        let records = self.leader().light(now);
        self.records.extend(records);
    }

    pub fn cancel(&mut self, job: JobId) {
        self.write(Record::Cancelled(job));
    }

    fn write(&mut self, record: Record) {
        self.records.push(record.clone());
        self.later(
            TRIP_MS,
            Event::Records {
                records: vec![record],
                more: self.behind,
            },
        );
    }

    pub fn state(&self, pool: &str, job: JobId) -> JobState {
        let queue = QueueName::new(pool).expect("a name");
        let leader = self.leaders.last().expect("an owner");
        match leader.dispatcher.answer(&OwnerRequest::State(queue, job)) {
            OwnerResponse::State(Some(state)) => state,
            answer => panic!("no state of {job}: {answer:?}"),
        }
    }

    /// The executor that runs a task, if one does.
    pub fn runs(&self, task: &TaskId) -> Vec<ExecutorId> {
        let fakes = self
            .fakes
            .iter()
            .filter(|(_, fake)| fake.works.contains_key(task));
        fakes.map(|(id, _)| id.clone()).collect()
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now.at + Duration::from_millis(ms);
        while self.now.at < until && !self.abdicated() {
            self.advance();
        }
    }

    fn later(&mut self, ms: u64, event: Event) {
        let now = self.now.at;
        self.leader().later(now, ms, event);
    }

    fn advance(&mut self) {
        self.now.at += Duration::from_millis(STEP_MS);
        self.now.unix += STEP_MS;
        let spare = &self.spare;
        let paid = self
            .machines
            .values()
            .filter(|machine| Some(&machine.pool) != spare.as_ref());
        self.paid += paid.count() as u64 * STEP_MS;
        for fake in self.fakes.values_mut().filter(|fake| !fake.down) {
            for (task, _, outcome) in fake.advance(self.now.at) {
                if outcome == RunOutcome::Done {
                    assert!(self.done.insert(task), "{task} ran twice to its end");
                }
            }
        }
        self.bring_back();
        if self.now.at >= self.listed + Duration::from_millis(200) {
            self.list();
        }
        let mut leaders = std::mem::take(&mut self.leaders);
        for leader in &mut leaders {
            self.drive(leader);
        }
        self.leaders = leaders;
        self.check();
    }

    /// Lets an owner decide.
    fn drive(&mut self, leader: &mut Leader) {
        leader.answer_polls(self.now.at, &self.fakes);
        if !leader.is_awake(self.now.at) {
            return;
        }
        leader.renew(self.now.at);
        for event in leader.due(self.now.at) {
            leader.dispatcher.handle(self.now, event);
        }
        for action in leader.dispatcher.poll(self.now) {
            self.act(leader, action);
        }
    }

    /// What must hold at every moment.
    fn check(&self) {
        let mut seen = BTreeSet::new();
        for fake in self.fakes.values() {
            for task in fake.works.keys() {
                assert!(seen.insert(*task), "{task} runs twice at the same time");
            }
        }
    }
}

fn queue(name: &str) -> Queue {
    Queue {
        name: QueueName::new(name).expect("a name"),
        host: Arc::from("site.example"),
        prefix: Arc::from(format!("/{name}/")),
        service: service(name),
        public: false,
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        latency: 600,
        timeout: 3_000,
        advised: false,
    }
}
