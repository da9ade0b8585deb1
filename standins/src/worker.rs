//! Stand-in for an executor on the users' platform: each task runs for a fixed time, and calls with
//! an outdated fencing token are refused.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::connections::Connections;
use crate::serve::Handler;
use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::plain;

/// Limit on simultaneous connections.
const MAX_CONNECTIONS: usize = 64;
/// Interval at which a waiting caller is checked for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An executor whose tasks all take the same time.
pub struct Worker {
    connections: Connections,
    started_at: Instant,
    run_time: Duration,
    fence: Cell<u64>,
    running: RefCell<BTreeMap<String, (u64, Instant)>>,
    ended: RefCell<Vec<(u64, String, u64, &'static str)>>,
    last_end: Cell<u64>,
    /// Rows that each list of its reports has in addition.
    pub odd_rows: RefCell<Vec<Value>>,
    /// Number of runs started so far.
    pub starts: Cell<u64>,
    /// Number of heartbeats so far.
    pub heartbeats: Cell<u64>,
}

impl Worker {
    /// Creates an idle executor whose tasks take `run_time`.
    pub fn new(run_time: Duration) -> Rc<Self> {
        Rc::new(Self {
            connections: Connections::new(MAX_CONNECTIONS),
            started_at: Instant::now(),
            run_time,
            fence: Cell::new(0),
            running: RefCell::default(),
            ended: RefCell::default(),
            last_end: Cell::new(0),
            odd_rows: RefCell::default(),
            starts: Cell::new(0),
            heartbeats: Cell::new(0),
        })
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn end(&self, task: &str, run: u64, outcome: &'static str) {
        self.running.borrow_mut().remove(task);
        self.last_end.set(self.last_end.get() + 1);
        let end = (self.last_end.get(), task.to_owned(), run, outcome);
        self.ended.borrow_mut().push(end);
    }

    fn end_due_runs(&self) {
        let now = Instant::now();
        let running = self.running.borrow();
        let due = running.iter().filter(|(_, (_, until))| *until <= now);
        let due: Vec<(String, u64)> = due.map(|(task, (run, _))| (task.clone(), *run)).collect();
        drop(running);
        for (task, run) in due {
            self.end(&task, run, "done");
        }
    }

    fn start(&self, body: &Value) -> HttpResponse {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        self.starts.set(self.starts.get() + 1);
        let until = Instant::now() + self.run_time;
        self.running.borrow_mut().insert(task, (run, until));
        json(StatusCode::OK, &json!({ "clock_ms": self.clock_ms() }))
    }

    fn stop(&self, body: &Value) -> HttpResponse {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let is_running = self
            .running
            .borrow()
            .get(task)
            .is_some_and(|&(current, _)| current == run);
        if is_running {
            self.end(task, run, "stopped");
        }
        json(StatusCode::OK, &json!({ "clock_ms": self.clock_ms() }))
    }

    /// Number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.connections.opened()
    }

    async fn hold(&self, body: &Value) -> HttpResponse {
        self.heartbeats.set(self.heartbeats.get() + 1);
        let acked = body["acked_upto"].as_u64().unwrap_or(0);
        self.ended
            .borrow_mut()
            .retain(|(number, ..)| *number > acked);
        let wait = body["wait_ms"].as_u64().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        while self.ended.borrow().is_empty() && Instant::now() < until {
            compio::time::sleep(POLL_INTERVAL).await;
            self.end_due_runs();
        }
        let running = self.running.borrow();
        let running = running
            .iter()
            .map(|(task, (run, _))| json!([task, run, "", 50, 0]));
        let odd_rows = self.odd_rows.borrow();
        let running: Vec<Value> = odd_rows.iter().cloned().chain(running).collect();
        let ended = self.ended.borrow();
        let ended = ended
            .iter()
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]));
        let ended: Vec<Value> = odd_rows.iter().cloned().chain(ended).collect();
        json(
            StatusCode::OK,
            &json!({ "clock_ms": self.clock_ms(), "running": running, "ended": ended }),
        )
    }
}

impl Handler for Worker {
    fn is_control(_: &str) -> bool {
        false
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> io::Result<HttpResponse> {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        self.end_due_runs();
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < self.fence.get() {
            let refusal = json!({ "clock_ms": self.clock_ms(), "reason": "fence" });
            return Ok(json(StatusCode::CONFLICT, &refusal));
        }
        self.fence.set(fence);
        let response = match request.uri().path() {
            "/api/run-start" => self.start(&body),
            "/api/run-stop" => self.stop(&body),
            "/api/hold" => self.hold(&body).await,
            _ => plain(StatusCode::NOT_FOUND, ""),
        };
        Ok(response)
    }
}
