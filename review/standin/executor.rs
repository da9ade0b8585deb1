//! An executor: runs tasks under leases on its own clock, as the protocol says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json;
use crate::json::Json;
use crate::json::table;
use crate::record::Record;
use crate::store::Store;

/// Time between two looks at what is due.
const LOOK_TIME: Duration = Duration::from_millis(2);
/// Time between two writes of the executor's entry.
const BEAT_TIME: Duration = Duration::from_millis(1_500);
/// Longest wait of a `hold` call, in milliseconds.
const MOST_WAIT_MS: u64 = 2_000;
/// Ends that are listed at a time.
const ENDS_LISTED: usize = 500;
/// Part of its work at which a task that lasts is ready, in milliseconds.
const READY_MS: u64 = 200;

/// What an executor is like.
#[derive(Debug, Clone)]
pub struct Traits {
    pub id: String,
    pub machine: String,
    pub rack: String,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Speed of its clock; 0.98 is 2% slow.
    pub clock_rate: f64,
    pub hold_max_ms: u64,
    /// A start needs a ticket of the advice service. Its time of validity isn't checked.
    pub needs_ticket: bool,
}

impl Traits {
    /// An executor of 16 cores and 64 GB, as on the sheets.
    pub fn new(id: &str, rack: &str) -> Self {
        Self {
            id: id.to_owned(),
            machine: format!("m-{id}"),
            rack: rack.to_owned(),
            service: "captions".to_owned(),
            cpu: 16_000,
            mem_mb: 65_536,
            clock_rate: 1.0,
            hold_max_ms: 6_000,
            needs_ticket: false,
        }
    }
}

/// A run, as seen by the executor itself.
#[derive(Debug, Clone)]
pub struct Span {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub from: Duration,
    pub to: Option<Duration>,
    pub how: &'static str,
    /// When the system acknowledged the end.
    pub noted: Option<Duration>,
    /// Whether the lease of the executor lapsed after the end and before it was acknowledged.
    pub lapsed_before_noted: bool,
}

struct Run {
    run: u64,
    /// When the work is done; `None` if the task lasts.
    until: Option<Instant>,
    from: Instant,
    work: Duration,
    cpu: u64,
    mem_mb: u64,
    span: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    span: usize,
    lapsed: bool,
}

struct State {
    fence: u64,
    lease: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: BTreeMap<String, u64>,
    cut: bool,
    /// It has ended for good.
    over: bool,
}

/// Sizes of the tasks that clients have submitted, by job and step.
pub type Sizes = Arc<Mutex<BTreeMap<String, Vec<(u64, u64)>>>>;
/// All runs on all executors.
pub type Spans = Arc<Mutex<Vec<Span>>>;

/// A running executor.
pub struct Executor {
    pub traits: Traits,
    pub addr: SocketAddr,
    born: Instant,
    born_ms: u64,
    state: Mutex<State>,
    sizes: Sizes,
    spans: Spans,
    record: Arc<Record>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Executor {
    /// Starts an executor that registers itself in the store.
    pub fn spawn(
        traits: Traits,
        store: &Store,
        sizes: &Sizes,
        spans: &Spans,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let executor = Arc::new(Self {
            traits,
            addr: listener.local_addr()?,
            born: Instant::now(),
            born_ms: unix.as_millis() as u64,
            state: Mutex::new(State {
                fence: 0,
                lease: 0,
                runs: BTreeMap::new(),
                ends: Vec::new(),
                last_end: 0,
                highest: BTreeMap::new(),
                cut: false,
                over: false,
            }),
            sizes: sizes.clone(),
            spans: spans.clone(),
            record: record.clone(),
        });
        let serving = executor.clone();
        http::serve(listener, Arc::new(move |request| serving.answer(&request)));
        let ticking = executor.clone();
        thread::spawn(move || {
            while !lock(&ticking.state).over {
                ticking.advance(&mut lock(&ticking.state));
                thread::sleep(LOOK_TIME);
            }
        });
        let beating = executor.clone();
        let store = store.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                let (cut, over) = {
                    let state = lock(&beating.state);
                    (state.cut, state.over)
                };
                if over {
                    return;
                }
                if !cut {
                    store.register(&beating.traits.id, &beating.entry(sequence));
                }
                thread::sleep(BEAT_TIME);
            }
        });
        Ok(executor)
    }

    fn entry(&self, sequence: u64) -> Json {
        let traits = &self.traits;
        let capacity = [
            ("cpu", traits.cpu.into()),
            ("mem_mb", traits.mem_mb.into()),
            ("gpu", 0_u64.into()),
        ];
        table([
            ("service", traits.service.as_str().into()),
            ("machine", traits.machine.as_str().into()),
            ("address", self.addr.to_string().into()),
            ("zone", "zone-a".into()),
            ("version", "1".into()),
            ("slots", 8_u64.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0_u64.into()),
            ("capacity", table(capacity)),
            ("labels", vec!["a", traits.rack.as_str()].into()),
            ("born", self.born_ms.into()),
            ("clock_ms", self.clock().into()),
            ("sequence", sequence.into()),
        ])
    }

    /// Cuts the executor off from all machines and the store, or ends that. Its tasks run on.
    pub fn set_cut(&self, cut: bool) {
        lock(&self.state).cut = cut;
        let text = if cut { "cut off" } else { "reachable again" };
        self.note(text);
    }

    /// Ends the executor for good, with all that runs on it.
    pub fn terminate(&self) {
        let mut state = lock(&self.state);
        state.over = true;
        let mut spans = lock(&self.spans);
        for run in state.runs.values() {
            spans[run.span].to = Some(self.record.elapsed());
            spans[run.span].how = "terminated";
        }
        drop(spans);
        state.runs.clear();
        drop(state);
        self.note("ended for good");
    }

    fn note(&self, text: &str) {
        self.record.note(&self.traits.id, text);
    }

    /// Time on the executor's clock, in milliseconds since its start.
    fn clock(&self) -> u64 {
        (self.born.elapsed().as_secs_f64() * 1_000.0 * self.traits.clock_rate) as u64
    }

    /// Ends what is due: tasks whose work is done, and all of them once the lease has lapsed.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let due = state.runs.iter();
        let due = due.filter(|(_, run)| run.until.is_some_and(|until| until <= now));
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            self.end(state, &task, "done");
        }
        if self.clock() < state.lease {
            return;
        }
        let all: Vec<String> = state.runs.keys().cloned().collect();
        for task in all {
            self.end(state, &task, "lapsed");
        }
        for end in &mut state.ends {
            end.lapsed = true;
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.run);
        let mut spans = lock(&self.spans);
        spans[run.span].to = Some(self.record.elapsed());
        spans[run.span].how = how;
        drop(spans);
        self.note(&format!(
            "run {task} {} ended {how}, end {}",
            run.run, state.last_end
        ));
        state.ends.push(End {
            number: state.last_end,
            task: task.to_owned(),
            run: run.run,
            how,
            span: run.span,
            lapsed: false,
        });
    }

    /// Waits while the executor is cut off; returns whether it was.
    fn is_lost(&self) -> bool {
        let mut lost = false;
        while lock(&self.state).cut {
            lost = true;
            thread::sleep(LOOK_TIME);
        }
        lost
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        if self.is_lost() || lock(&self.state).over {
            return None;
        }
        let response = self.answer_now(request);
        // An answer that is sent into the cut is lost.
        let lost = self.is_lost() || lock(&self.state).over;
        (!lost).then_some(response)
    }

    fn refuse(&self, reason: &str) -> Response {
        let body = [("clock_ms", self.clock().into()), ("reason", reason.into())];
        Response::json(409, &table(body))
    }

    fn accept(&self) -> Response {
        Response::json(200, &table([("clock_ms", self.clock().into())]))
    }

    fn answer_now(&self, request: &Request) -> Response {
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|id| id != self.traits.id) {
            return Response::raw(421, Vec::new());
        }
        let Some(body) = json::parse(&request.body) else {
            return Response::raw(400, Vec::new());
        };
        let mut state = lock(&self.state);
        self.advance(&mut state);
        let fence = body.get("fencing_token").whole().unwrap_or(0);
        if fence < state.fence {
            self.note(&format!(
                "{} {body} refused: fence {}",
                request.path, state.fence
            ));
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/api/run-start" => self.start(&mut state, &body),
            "/api/run-stop" => self.stop(&mut state, &body),
            "/api/pace" => self.accept(),
            "/api/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => Response::raw(404, Vec::new()),
        }
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(deadline) = body.get("deadline_ms").whole() {
            let most = self.clock() + self.traits.hold_max_ms;
            state.lease = state.lease.max(deadline.min(most));
        }
    }

    fn size(&self, task: &str) -> (u64, u64) {
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|step| step.parse::<usize>().ok());
        let sizes = lock(&self.sizes);
        let steps = sizes.get(job);
        let size = steps.and_then(|steps| steps.get(step?)).copied();
        size.unwrap_or((0, 0))
    }

    fn start(&self, state: &mut State, body: &Json) -> Response {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").whole().unwrap_or(0);
        let spec = body.get("spec").text().unwrap_or_default();
        let refused = |reason: &str| {
            self.note(&format!("start {task} {run} refused: {reason}"));
            self.refuse(reason)
        };
        if state.runs.get(&task).is_some_and(|known| known.run == run) {
            return self.accept();
        }
        if self.traits.needs_ticket {
            let step = task.rsplit_once('.').map_or("", |(step, _)| step);
            let ticket = format!("t-{step}-{}", self.traits.id);
            if body.get("ticket").text() != Some(&ticket) {
                return refused("ticket");
            }
        }
        let highest = state.highest.get(&task).copied().unwrap_or(0);
        if run <= highest || state.runs.contains_key(&task) {
            self.extend_lease(state, body);
            return refused("old");
        }
        if body.get("deadline_ms").whole().unwrap_or(0) <= self.clock() {
            return refused("late");
        }
        let (cpu, mem_mb) = self.size(&task);
        let used = |amount: fn(&Run) -> u64| state.runs.values().map(amount).sum::<u64>();
        let full = used(|run| run.cpu) + cpu > self.traits.cpu
            || used(|run| run.mem_mb) + mem_mb > self.traits.mem_mb;
        self.extend_lease(state, body);
        if full {
            return refused("room");
        }
        let from = Instant::now();
        // The spec of a task is the time that it takes in milliseconds; other tasks last.
        let work = spec.parse().ok().map(Duration::from_millis);
        let mut spans = lock(&self.spans);
        spans.push(Span {
            executor: self.traits.id.clone(),
            task: task.clone(),
            run,
            from: self.record.elapsed(),
            to: None,
            how: "",
            noted: None,
            lapsed_before_noted: false,
        });
        let span = spans.len() - 1;
        drop(spans);
        let left = state.lease.saturating_sub(self.clock());
        self.note(&format!(
            "start {task} {run} -> 200; lease ends in {left} ms of its clock"
        ));
        let run = Run {
            run,
            until: work.map(|work| from + work),
            from,
            work: work.unwrap_or(Duration::from_millis(READY_MS)),
            cpu,
            mem_mb,
            span,
        };
        state.runs.insert(task, run);
        self.accept()
    }

    fn stop(&self, state: &mut State, body: &Json) -> Response {
        let task = body.get("task").text().unwrap_or_default();
        let run = body.get("run").whole().unwrap_or(0);
        self.note(&format!("stop {task} {run}"));
        if state.runs.get(task).is_some_and(|known| known.run == run) {
            self.end(state, task, "stopped");
        }
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        self.accept()
    }

    fn hold(&self, body: &Json) -> Response {
        let mut state = lock(&self.state);
        self.extend_lease(&mut state, body);
        let acked = body.get("acked_upto").whole().unwrap_or(0);
        let noted = self.record.elapsed();
        for end in state.ends.iter().filter(|end| end.number <= acked) {
            let mut spans = lock(&self.spans);
            spans[end.span].noted = Some(noted);
            spans[end.span].lapsed_before_noted = end.lapsed;
        }
        state.ends.retain(|end| end.number > acked);
        drop(state);
        let wait = body.get("wait_ms").whole().unwrap_or(0).min(MOST_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let mut state = lock(&self.state);
            self.advance(&mut state);
            if !state.ends.is_empty() || Instant::now() >= until || state.cut || state.over {
                return self.report(&state);
            }
            drop(state);
            thread::sleep(LOOK_TIME);
        }
    }

    fn report(&self, state: &State) -> Response {
        let running = state.runs.iter().map(|(task, run)| {
            let percent = 100 * run.from.elapsed().as_millis() / run.work.as_millis().max(1);
            let percent = (percent as u64).min(100);
            Json::List(vec![
                task.as_str().into(),
                run.run.into(),
                "".into(),
                percent.into(),
                0_u64.into(),
            ])
        });
        let ended = state.ends.iter().take(ENDS_LISTED).map(|end| {
            let task = end.task.as_str().into();
            Json::List(vec![
                end.number.into(),
                task,
                end.run.into(),
                end.how.into(),
                "".into(),
            ])
        });
        let (running, ended): (Vec<Json>, Vec<Json>) = (running.collect(), ended.collect());
        if ended.len() == ENDS_LISTED {
            let waiting = state.ends.len();
            self.note(&format!(
                "report: {ENDS_LISTED} ends of {waiting}, {} running",
                running.len()
            ));
        }
        let body = [
            ("clock_ms", self.clock().into()),
            ("born", self.born_ms.into()),
            ("running", Json::List(running)),
            ("ended", Json::List(ended)),
        ];
        Response::json(200, &table(body))
    }
}
