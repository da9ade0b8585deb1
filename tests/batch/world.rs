//! A site in memory, in virtual time: one owner, its executors and hosts, and the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::Action;
use mimosastep::batch::Advice;
use mimosastep::batch::Answer;
use mimosastep::batch::Ask;
use mimosastep::batch::Book;
use mimosastep::batch::Demand;
use mimosastep::batch::Dispatcher;
use mimosastep::batch::Event;
use mimosastep::batch::Executor;
use mimosastep::batch::Host;
use mimosastep::batch::HostPhase;
use mimosastep::batch::How;
use mimosastep::batch::Job;
use mimosastep::batch::JobId;
use mimosastep::batch::JobState;
use mimosastep::batch::Now;
use mimosastep::batch::OrderError;
use mimosastep::batch::Orders;
use mimosastep::batch::Policy;
use mimosastep::batch::Pool;
use mimosastep::batch::Queue;
use mimosastep::batch::Record;
use mimosastep::batch::Start;
use mimosastep::batch::Step;
use mimosastep::batch::TaskId;
use mimosastep::batch::Wave;
use mimosastep::batch::WaveState;
use mimosastep::name::DcName;
use mimosastep::name::ExecutorId;
use mimosastep::name::HostName;
use mimosastep::name::NodeName;
use mimosastep::name::QueueName;
use mimosastep::name::ServiceName;
use slog::Discard;
use slog::Logger;
use slog::o;

use crate::fake::Fake;

/// Time between two looks at the world, in milliseconds.
const STEP_MS: u64 = 5;
/// Time that an order and its answer take, in milliseconds.
const TRIP_MS: u64 = 5;
/// Time that a host is away for a move or its upkeep, in milliseconds.
const AWAY_MS: u64 = 1_500;
/// Processor of a host, in thousandths of a core.
pub const HOST_CPU: u64 = 16_000;

/// What a task of a job does, by its id and run.
pub type Script = Box<dyn Fn(&TaskId, u64) -> (u64, How)>;

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
    pub dispatcher: Dispatcher,
    pub fakes: BTreeMap<ExecutorId, Fake>,
    machines: BTreeMap<HostName, Machine>,
    pub orders: Orders,
    events: Vec<(Instant, Event)>,
    pub records: Vec<Record>,
    pub script: Script,
    /// Tail of serving tasks by the pace of the fill work beside them, in milliseconds.
    pub tail: Box<dyn Fn(u64) -> u64>,
    /// Executors that neither get orders nor answer.
    pub cut: BTreeSet<ExecutorId>,
    /// Answers of starts that are lost from now on.
    pub lost: usize,
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
    pub abdicated: bool,
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}

pub fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an id")
}

/// A step of tasks of one core and one second.
pub fn step(count: u32) -> Step {
    Step {
        count,
        demand: Demand {
            cpu: 1_000,
            memory: 100,
            gpu: 0,
        },
        estimate: 1_000,
        ..Step::default()
    }
}

/// A step of tasks that last, at most one on an executor, of which one may be away.
pub fn lasting(count: u32) -> Step {
    Step {
        lasting: true,
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
        let mut policy = Policy {
            version: 1,
            ..Policy::default()
        };
        for (name, _) in pools {
            let spare = *name == "spare";
            policy.pools.insert(
                service(name),
                Pool {
                    guarded: true,
                    spare,
                },
            );
            if !spare {
                policy.queues.push(queue(name));
            }
        }
        let orders = Orders {
            policy: Some(Rc::new(policy)),
            ..Orders::default()
        };
        let mut world = Self {
            now,
            dispatcher: Dispatcher::new(now, 1, node, Book::default(), log),
            fakes: BTreeMap::new(),
            machines: BTreeMap::new(),
            orders,
            events: Vec::new(),
            records: Vec::new(),
            script: Box::new(|_, _| (1_000, How::Done)),
            tail: Box::new(|_| 0),
            cut: BTreeSet::new(),
            lost: 0,
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
            abdicated: false,
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
        let orders = world.orders.clone();
        world.dispatcher.handle(now, Event::Orders(orders));
        world.run(4_000);
        world
    }

    /// Another owner takes over from the log, with the next fence.
    pub fn take_over(&mut self, fence: u64) {
        let mut book = Book::default();
        let node = NodeName::new("node-2").expect("a name");
        self.records.push(Record::Took {
            fence,
            node: node.clone(),
        });
        for record in &self.records {
            book.apply(record.clone());
        }
        let log = Logger::root(Discard, o!());
        self.events.clear();
        self.dispatcher = Dispatcher::new(self.now, fence, node, book, log);
        self.dispatcher.settle(self.now, 1_000);
        self.dispatcher.begin(self.now);
        let orders = self.orders.clone();
        self.dispatcher.handle(self.now, Event::Orders(orders));
        self.list();
    }

    /// Hands a job in.
    pub fn submit(&mut self, number: u64, pool: &str, steps: Vec<Step>) -> JobId {
        let job = Job {
            id: id(number),
            queue: QueueName::new(pool).expect("a name"),
            service: service(pool),
            team: None,
            spec: Arc::from("work"),
            steps,
            attempts: 3,
            schedule: None,
            accepted: self.now.unix,
        };
        self.write(Record::Accepted(job));
        id(number)
    }

    pub fn cancel(&mut self, job: JobId) {
        self.write(Record::Cancelled(job));
    }

    fn write(&mut self, record: Record) {
        self.records.push(record.clone());
        self.later(TRIP_MS, Event::Records(vec![record]));
    }

    pub fn ask_wave(&mut self, hosts: &[&str], period: u64, limit: u32) {
        let hosts = hosts
            .iter()
            .map(|host| HostName::new(host).expect("a name"));
        let wave = Wave {
            number: 1,
            hosts: hosts.collect(),
            period,
            limit,
        };
        self.orders.waves.insert(1, wave);
        let orders = self.orders.clone();
        self.dispatcher.handle(self.now, Event::Orders(orders));
    }

    /// Lets only the advice service say where a queue's steps run.
    pub fn advise(&mut self, pool: &str) {
        let policy = self.orders.policy.as_ref().expect("a policy");
        let mut policy = (**policy).clone();
        for queue in &mut policy.queues {
            queue.advised |= queue.name.as_str() == pool;
        }
        self.orders.policy = Some(Rc::new(policy));
        let orders = self.orders.clone();
        self.dispatcher.handle(self.now, Event::Orders(orders));
    }

    pub fn state(&self, pool: &str, job: JobId) -> JobState {
        let queue = QueueName::new(pool).expect("a name");
        match self.dispatcher.answer(&Ask::State(queue, job)) {
            Answer::State(Some(state)) => state,
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

    /// Number of hosts that are away.
    pub fn down(&self) -> usize {
        let away = self
            .machines
            .values()
            .filter(|machine| machine.back.is_some());
        away.count()
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now.at + Duration::from_millis(ms);
        while self.now.at < until && !self.abdicated {
            self.advance();
        }
    }

    fn later(&mut self, ms: u64, event: Event) {
        let at = self.now.at + Duration::from_millis(ms);
        self.events.push((at, event));
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
            for (task, _, how) in fake.advance(self.now.at) {
                if how == How::Done {
                    assert!(self.done.insert(task), "{task} ran twice to its end");
                }
            }
        }
        self.bring_back();
        if self.now.at >= self.listed + Duration::from_millis(200) {
            self.list();
        }
        let (due, rest) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= self.now.at);
        self.events = rest;
        let due: Vec<(Instant, Event)> = due;
        for (_, event) in due {
            self.dispatcher.handle(self.now, event);
        }
        for action in self.dispatcher.poll(self.now) {
            self.act(action);
        }
        self.check();
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

    fn bring_back(&mut self) {
        let mut births = Vec::new();
        for (host, machine) in &mut self.machines {
            if machine.back.is_some_and(|back| back <= self.now.at) {
                machine.back = None;
                if Some(&machine.pool) != self.spare.as_ref() {
                    births.push(host.clone());
                }
            }
        }
        for host in births {
            self.lives += 1;
            let id = ExecutorId::new(&format!("{host}.{}", self.lives)).expect("a name");
            let capacity = Demand {
                cpu: HOST_CPU,
                memory: 64_000,
                gpu: 0,
            };
            let mut fake = Fake::new(capacity, self.now.at);
            fake.tail = (self.tail)(100);
            self.fakes.insert(id.clone(), fake);
            if let Some(machine) = self.machines.get_mut(&host) {
                machine.executor = Some(id);
            }
        }
    }

    /// Tells the owner of executors and hosts, as the platform does a few times a second.
    fn list(&mut self) {
        self.listed = self.now.at;
        let mut executors = Vec::new();
        let mut hosts = Vec::new();
        for (name, machine) in &self.machines {
            let capacity = Demand {
                cpu: HOST_CPU,
                memory: 64_000,
                gpu: 0,
            };
            let dc = DcName::new("dc-a").expect("a name");
            hosts.push(Host {
                name: name.clone(),
                pool: machine.pool.clone(),
                phase: match machine.back {
                    None => HostPhase::Up,
                    Some(_) if machine.moving => HostPhase::Moving,
                    Some(_) => HostPhase::Upkeep,
                },
                dc: dc.clone(),
                capacity,
            });
            let Some(id) = &machine.executor else {
                continue;
            };
            if self.fakes[id].down {
                continue;
            }
            executors.push(Executor {
                id: id.clone(),
                host: Some(name.clone()),
                service: machine.pool.clone(),
                addr: SocketAddr::from(([127, 0, 0, 1], 1)),
                dc,
                draining: false,
                capacity,
                labels: vec![Arc::from("a"), Arc::from("r1")],
                born: 1,
            });
        }
        self.later(0, Event::Executors(executors));
        self.later(0, Event::Hosts(hosts));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Append { receipt, records } => {
                self.records.extend(records);
                self.later(TRIP_MS, Event::Appended(receipt));
            }
            Action::Hold(order) => {
                let sent = self.now.at;
                let id = &order.target.executor;
                let result = self.reach(id).and_then(|fake| fake.hold(sent, &order));
                let trip = if result.is_ok() { TRIP_MS } else { 400 };
                self.later(
                    trip,
                    Event::Held {
                        order,
                        sent,
                        result,
                    },
                );
            }
            Action::Start(order) => self.start(order),
            Action::Stop(order) => {
                let now = self.now.at;
                let id = &order.target.executor;
                let result = self.reach(id).and_then(|fake| fake.stop(now, &order));
                self.later(TRIP_MS, Event::Stopped { order, result });
            }
            Action::Consult(question) => {
                self.consulted += 1;
                let good = question.executors.iter().skip(1);
                let good = good.map(|id| (id.clone(), Arc::from("ticket"))).collect();
                let result = Ok(Advice {
                    good,
                    validity: 1_000,
                });
                self.later(50, Event::Advised { question, result });
            }
            Action::Pace(order) => {
                self.paces.push((order.task, order.percent));
                let tail = (self.tail)(order.percent);
                if let Some(fake) = self.fakes.get_mut(&order.target.executor) {
                    fake.tail = tail;
                }
                self.later(
                    TRIP_MS,
                    Event::Paced {
                        order,
                        result: Ok(()),
                    },
                );
            }
            Action::Maintain(order) => {
                let known = self.machines.contains_key(&order.host);
                let result = if known { Ok(()) } else { Err(OrderError::Gone) };
                if known {
                    self.downs.push(order.host.clone());
                    self.take_away(&order.host.clone(), None);
                }
                self.later(TRIP_MS, Event::Maintained { order, result });
            }
            Action::Transfer(order) => {
                self.moves += 1;
                self.take_away(&order.host.clone(), Some(order.pool.clone()));
                self.later(
                    TRIP_MS,
                    Event::Transferred {
                        order,
                        result: Ok(()),
                    },
                );
            }
            Action::Report { wave, state } => {
                self.told.insert(wave, state);
                let told = true;
                self.later(TRIP_MS, Event::Reported { wave, state, told });
            }
            Action::Abdicate => self.abdicated = true,
        }
    }

    fn reach(&mut self, id: &ExecutorId) -> Result<&mut Fake, OrderError> {
        if self.cut.contains(id) {
            return Err(OrderError::Silent);
        }
        let fake = self.fakes.get_mut(id).ok_or(OrderError::Silent)?;
        if fake.down {
            return Err(OrderError::Silent);
        }
        Ok(fake)
    }

    fn start(&mut self, order: Start) {
        let now = self.now.at;
        let job = self.records.iter().find_map(|record| match record {
            Record::Accepted(job) if job.id == order.task.job => Some(job.clone()),
            _ => None,
        });
        let step = job.expect("a job in the log").steps[order.task.step as usize].clone();
        let (ms, how) = (self.script)(&order.task, order.run);
        let ends = (!step.lasting).then(|| (now + Duration::from_millis(ms), how));
        let id = order.target.executor.clone();
        let result = self
            .reach(&id)
            .and_then(|fake| fake.start(now, &order, step.reserved(), ends));
        if result.is_ok() {
            self.starts.push((now, order.task, order.run, id));
            assert!(
                !self.done.contains(&order.task),
                "{} began after its end",
                order.task
            );
        }
        if self.lost > 0 && result.is_ok() {
            self.lost -= 1;
            let result = Err(OrderError::Silent);
            return self.later(500, Event::Started { order, result });
        }
        self.later(TRIP_MS, Event::Started { order, result });
    }

    /// Ends a host's executor; the host comes back, in another pool if one is named.
    fn take_away(&mut self, host: &HostName, pool: Option<ServiceName>) {
        let machine = self.machines.get_mut(host).expect("a known host");
        if let Some(id) = machine.executor.take()
            && let Some(fake) = self.fakes.get_mut(&id)
        {
            assert!(
                fake.works.is_empty(),
                "{host} went down while tasks ran there"
            );
            fake.down = true;
        }
        machine.back = Some(self.now.at + Duration::from_millis(AWAY_MS));
        machine.moving = pool.is_some();
        if let Some(pool) = pool {
            machine.pool = pool;
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
