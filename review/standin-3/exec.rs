//! Stand-ins of executors, after the page on running tasks. All states lie under one lock; a thread
//! moves them on every few milliseconds.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Request, Response, Server};
use crate::json::{parse, quote};
use crate::store::Store;

pub const HOLD_MAX_MS: u64 = 6_000;
pub const GANG_MS: u64 = 3_000;
pub const CHECKPOINT_MS: u64 = 2_000;
pub const RESTORE_MS: u64 = 600;
pub const HEARTBEAT_MS: u64 = 1_500;

/// A step as its client submitted it, which the executors need to run its tasks.
#[derive(Clone, Default)]
pub struct Step {
    pub count: usize,
    pub cpu: u64,
    pub work_ms: u64,
    pub gang: bool,
    pub checkpoint: bool,
}

struct Run {
    run: u64,
    step: String,
    begun: Instant,
    base: u64,
}

/// The members of one run of a gang that are present.
#[derive(Default)]
struct Gang {
    members: BTreeMap<String, String>,
    works: Option<Instant>,
}

pub struct Exec {
    pub id: String,
    pub service: String,
    pub kind: String,
    pub rack: String,
    pub cpu: u64,
    pub port: u16,
    pub born: u64,
    pub up: bool,
    pub registers_at: Option<Instant>,
    began: Instant,
    life: u64,
    token: u64,
    deadline: u64,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    sequence: u64,
    server: Option<Server>,
}

impl Exec {
    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn used(&self, steps: &HashMap<String, Step>) -> u64 {
        self.runs
            .values()
            .map(|run| steps.get(&run.step).map_or(0, |step| step.cpu))
            .sum()
    }

    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":{},\"address\":\"127.0.0.1:{}\",\"zone\":\"caerdydd-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\
             \"labels\":[{},{}],\"clock_ms\":{},\"born\":{},\"machine\":\"m-{}\",\"sequence\":{}}}",
            quote(&self.service),
            self.port,
            self.cpu,
            quote(&self.kind),
            quote(&self.rack),
            self.clock(),
            self.born,
            self.id,
            self.sequence
        )
    }
}

/// A start that an executor has begun, as the rules see it.
#[derive(Clone)]
pub struct Start {
    pub at: Instant,
    pub executor: String,
    pub service: String,
    pub kind: String,
    pub task: String,
    pub run: u64,
    pub saved: String,
}

/// An end of a run that an executor lists.
#[derive(Clone)]
pub struct End {
    pub began: Instant,
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

#[derive(Default)]
pub struct Sim {
    pub steps: HashMap<String, Step>,
    pub execs: Vec<Exec>,
    pub starts: Vec<Start>,
    pub ends: Vec<End>,
    gangs: HashMap<(String, u64), Gang>,
}

pub struct World {
    pub sim: Mutex<Sim>,
    pub store: Arc<Store>,
    pub began: Instant,
    lines: Mutex<Vec<String>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

/// The state that a member of a run saves after that much work.
fn value_of(step: &str, done: u64) -> String {
    if done == 0 {
        return String::new();
    }
    format!("{done:08x}{}", &step[..8])
}

fn work_in(saved: &str) -> u64 {
    saved
        .get(..8)
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .unwrap_or(0)
}

impl Sim {
    /// Work done by a run, in milliseconds; `None` while it waits for its gang.
    fn done(&self, run: &Run) -> Option<u64> {
        let step = self.steps.get(&run.step)?;
        let from = if step.gang {
            self.gangs.get(&(run.step.clone(), run.run))?.works?
        } else {
            run.begun
        };
        let restore = if run.base > 0 { RESTORE_MS } else { 0 };
        let passed = from.elapsed().as_millis() as u64;
        Some(run.base + passed.saturating_sub(restore))
    }

    fn saved(&self, run: &Run) -> String {
        let checkpoint = self
            .steps
            .get(&run.step)
            .is_some_and(|step| step.checkpoint);
        let done = self.done(run).unwrap_or(run.base);
        if !checkpoint {
            return String::new();
        }
        let kept = (done / CHECKPOINT_MS * CHECKPOINT_MS).max(run.base);
        value_of(&run.step, kept)
    }

    pub fn find(&self, id: &str) -> usize {
        self.execs
            .iter()
            .position(|exec| exec.id == id)
            .expect("an executor")
    }

    /// Ends a run; the other members of its gang that work end with it.
    fn end(&mut self, at: usize, task: &str, how: &'static str, listed: bool) {
        let Some(run) = self.execs[at].runs.remove(task) else {
            return;
        };
        let saved = self.saved(&run);
        let gang = self.steps.get(&run.step).is_some_and(|step| step.gang);
        let exec = &mut self.execs[at];
        let highest = exec.highest.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        if listed {
            exec.next_end += 1;
            exec.ended
                .push((exec.next_end, task.to_owned(), run.run, how, saved));
            let executor = exec.id.clone();
            let (task, run, began) = (task.to_owned(), run.run, run.begun);
            self.ends.push(End {
                began,
                executor,
                task,
                run,
                how,
            });
        }
        if !gang {
            return;
        }
        let key = (run.step.clone(), run.run);
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        gang.members.remove(task);
        if gang.works.is_none() {
            return;
        }
        let others: Vec<String> = gang.members.keys().cloned().collect();
        let how = if how == "done" { "done" } else { "broken" };
        for other in others {
            let holder = self.execs.iter().position(|exec| {
                exec.runs
                    .get(&other)
                    .is_some_and(|other| other.run == run.run)
            });
            if let Some(holder) = holder {
                self.end(holder, &other, how, true);
            }
        }
    }

    /// Moves all runs on: leases, ends of work, gangs.
    fn advance(&mut self) {
        for at in 0..self.execs.len() {
            if !self.execs[at].up {
                continue;
            }
            let lapsed = self.execs[at].clock() > self.execs[at].deadline;
            let tasks: Vec<String> = self.execs[at].runs.keys().cloned().collect();
            for task in tasks {
                let Some(run) = self.execs[at].runs.get(&task) else {
                    continue;
                };
                let Some(step) = self.steps.get(&run.step) else {
                    continue;
                };
                let waits = step.gang && self.done(run).is_none();
                let alone = waits && run.begun.elapsed() > Duration::from_millis(GANG_MS);
                let over = self.done(run).is_some_and(|done| done >= step.work_ms);
                if lapsed {
                    self.end(at, &task, "lapsed", true);
                } else if over {
                    self.end(at, &task, "done", true);
                } else if alone {
                    self.end(at, &task, "alone", true);
                }
            }
        }
    }

    fn start(&mut self, at: usize, body: &crate::json::J) -> Response {
        let (task, run) = (
            body.get("task").str().to_owned(),
            body.get("run").num().unwrap_or(0),
        );
        let step_id = step_of(&task);
        let steps = self.steps.clone();
        let exec = &mut self.execs[at];
        let clock = exec.clock();
        let refuse = |reason: &str| {
            Response::json(
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        // An ID that no client sent names a task of one step as well.
        let step = steps.get(&step_id).cloned().unwrap_or(Step {
            count: 1,
            work_ms: 300,
            ..Step::default()
        });
        if exec.runs.get(&task).is_some_and(|known| known.run == run) {
            return Response::json(200, format!("{{\"clock_ms\":{clock}}}"));
        }
        let deadline = body
            .get("deadline_ms")
            .num()
            .unwrap_or(0)
            .min(clock + HOLD_MAX_MS);
        if deadline <= clock {
            return refuse("late");
        }
        // It is also taken from a start that gets `old` or `room`.
        exec.deadline = exec.deadline.max(deadline);
        if exec
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return refuse("old");
        }
        if exec.used(&steps) + step.cpu > exec.cpu {
            return refuse("room");
        }
        let saved = body.get("saved").str().to_owned();
        let begun = Instant::now();
        let base = work_in(&saved);
        exec.runs.insert(
            task.clone(),
            Run {
                run,
                step: step_id.clone(),
                begun,
                base,
            },
        );
        let (executor, kind) = (exec.id.clone(), exec.kind.clone());
        let service = exec.service.clone();
        self.starts.push(Start {
            at: begun,
            executor,
            service,
            kind,
            task: task.clone(),
            run,
            saved: saved.clone(),
        });
        if step.gang {
            let gang = self.gangs.entry((step_id, run)).or_default();
            gang.members.insert(task, saved.clone());
            // They work together only from one and the same state.
            let alike = gang.members.values().all(|other| *other == saved);
            if gang.members.len() == step.count && alike {
                gang.works = Some(Instant::now());
            }
        }
        Response::json(200, format!("{{\"clock_ms\":{clock}}}"))
    }

    fn lists(&self, at: usize) -> String {
        let exec = &self.execs[at];
        let running = exec.runs.iter().map(|(task, run)| {
            let work = self
                .steps
                .get(&run.step)
                .map_or(1, |step| step.work_ms.max(1));
            let percent = self.done(run).unwrap_or(0) * 100 / work;
            format!(
                "[{},{},{},{},0]",
                quote(task),
                run.run,
                quote(&self.saved(run)),
                percent.min(100)
            )
        });
        let running: Vec<String> = running.collect();
        let ended = exec
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how, saved)| {
                format!(
                    "[{number},{},{run},\"{how}\",{}]",
                    quote(task),
                    quote(saved)
                )
            });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            exec.clock(),
            exec.born,
            running.join(","),
            ended.join(",")
        )
    }
}

impl World {
    pub fn new() -> Arc<Self> {
        let world = Arc::new(Self {
            sim: Mutex::default(),
            store: Store::new(),
            began: Instant::now(),
            lines: Mutex::default(),
        });
        let moved = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                moved.sim.lock().unwrap().advance();
                moved.register();
            }
        });
        world
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:8.3} {}", text.as_ref()));
    }

    pub fn text(&self) -> String {
        self.lines.lock().unwrap().join("\n") + "\n"
    }

    /// Writes the entries of the executors that are due, and removes those of three heartbeats' silence.
    fn register(&self) {
        let mut due = Vec::new();
        for exec in &mut self.sim.lock().unwrap().execs {
            if exec.registers_at.is_none_or(|at| at > Instant::now()) {
                continue;
            }
            if !exec.up {
                exec.registers_at = None;
                self.note(format!("the entry of {} is removed", exec.id));
                due.push((exec.id.clone(), String::new()));
                continue;
            }
            exec.registers_at = Some(Instant::now() + Duration::from_millis(HEARTBEAT_MS));
            exec.sequence += 1;
            if exec.sequence == 1 {
                self.note(format!(
                    "{} registers: kind {}, born {}",
                    exec.id, exec.kind, exec.born
                ));
            }
            due.push((exec.id.clone(), exec.entry()));
        }
        for (id, entry) in due {
            self.store.put("keyed.servers", &id, &entry);
        }
    }

    /// Starts an executor that registers after that time.
    pub fn begin(
        self: &Arc<Self>,
        id: &str,
        kind: &str,
        cpu: u64,
        port: u16,
        registers: Duration,
    ) -> u16 {
        self.begin_in("captions", id, kind, cpu, port, registers)
    }

    /// Starts an executor of a service that registers after that time.
    pub fn begin_in(
        self: &Arc<Self>,
        service: &str,
        id: &str,
        kind: &str,
        cpu: u64,
        port: u16,
        registers: Duration,
    ) -> u16 {
        let mut sim = self.sim.lock().unwrap();
        sim.execs.retain(|exec| exec.id != id);
        let (world, own) = (self.clone(), id.to_owned());
        let life = unix_ms();
        let handler: Handler = Arc::new(move |request| world.answer(&own, life, request));
        let server = Server::open(port, handler).expect("a port for an executor");
        let port = server.addr.port();
        sim.execs.push(Exec {
            id: id.to_owned(),
            service: service.to_owned(),
            kind: kind.to_owned(),
            rack: format!("r-{id}"),
            cpu,
            port,
            born: life,
            up: true,
            registers_at: Some(Instant::now() + registers),
            began: Instant::now(),
            life,
            token: 0,
            deadline: 0,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            next_end: 0,
            sequence: 0,
            server: Some(server),
        });
        drop(sim);
        self.note(format!("{id} begins: kind {kind}, born {life}"));
        port
    }

    /// Ends the process of an executor, with all that runs on it; what others run with it breaks.
    pub fn crash(&self, id: &str) {
        self.note(format!("{id} crashes"));
        let mut sim = self.sim.lock().unwrap();
        let at = sim.find(id);
        let server = sim.execs[at].server.take();
        sim.execs[at].up = false;
        let silence = Duration::from_millis(3 * HEARTBEAT_MS);
        sim.execs[at].registers_at = Some(Instant::now() + silence);
        let tasks: Vec<String> = sim.execs[at].runs.keys().cloned().collect();
        for task in tasks {
            sim.end(at, &task, "stopped", false);
        }
        drop(sim);
        if let Some(server) = server {
            server.close();
        }
    }

    fn answer(&self, id: &str, life: u64, request: &Request) -> Option<Response> {
        let body = parse(&request.body);
        let path = request.path.as_str();
        let mut sim = self.sim.lock().unwrap();
        let at = sim
            .execs
            .iter()
            .position(|exec| exec.id == id && exec.life == life && exec.up)?;
        let clock = sim.execs[at].clock();
        if request
            .headers
            .get("x-expected-instance")
            .is_some_and(|expected| expected != id)
        {
            return Some(Response::json(421, format!("{{\"clock_ms\":{clock}}}")));
        }
        let token = body.get("fencing_token").num().unwrap_or(0);
        if token < sim.execs[at].token {
            self.note(format!("{id} {path} token {token} -> 409 fence"));
            return Some(Response::json(
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}"),
            ));
        }
        sim.execs[at].token = token;
        match path {
            "/api/run-start" => {
                let answer = sim.start(at, &body);
                let kind = &sim.execs[at].kind;
                let (task, run) = (body.get("task").str(), body.get("run").num().unwrap_or(0));
                let saved = body.get("saved").str();
                self.note(format!(
                    "{id} (kind {kind}) start {task} run {run} saved '{saved}' -> {}",
                    answer.status
                ));
                Some(answer)
            }
            "/api/run-stop" => {
                let (task, run) = (
                    body.get("task").str().to_owned(),
                    body.get("run").num().unwrap_or(0),
                );
                let highest = sim.execs[at].highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if sim.execs[at]
                    .runs
                    .get(&task)
                    .is_some_and(|known| known.run <= run)
                {
                    sim.end(at, &task, "stopped", true);
                }
                self.note(format!("{id} stop {task} run {run}"));
                Some(Response::json(200, format!("{{\"clock_ms\":{clock}}}")))
            }
            "/api/hold" => {
                let acked = body.get("acked_upto").num().unwrap_or(0);
                let exec = &mut sim.execs[at];
                exec.ended.retain(|(number, ..)| *number > acked);
                if let Some(deadline) = body.get("deadline_ms").num() {
                    exec.deadline = exec.deadline.max(deadline.min(clock + HOLD_MAX_MS));
                }
                let until =
                    Instant::now() + Duration::from_millis(body.get("wait_ms").num().unwrap_or(0));
                loop {
                    let at = sim
                        .execs
                        .iter()
                        .position(|exec| exec.id == id && exec.life == life && exec.up)?;
                    if !sim.execs[at].ended.is_empty() || Instant::now() >= until {
                        return Some(Response::json(200, sim.lists(at)));
                    }
                    drop(sim);
                    std::thread::sleep(Duration::from_millis(3));
                    sim = self.sim.lock().unwrap();
                }
            }
            "/api/pace" => Some(Response::json(200, format!("{{\"clock_ms\":{clock}}}"))),
            _ => Some(Response::json(404, "{}")),
        }
    }
}
