//! Stand-in of an executor on the users' platform: runs tasks for a fixed time under leases.

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
use crate::serve::Answer;
use crate::serve::Handler;
use crate::serve::json;
use crate::serve::plain;

/// Most connections.
const CONNECTIONS: usize = 64;
/// Time between two looks for an end that a caller waits for.
const LOOK: Duration = Duration::from_millis(5);

/// The executor.
pub struct Worker {
    connections: Connections,
    begun: Instant,
    work: Duration,
    fence: Cell<u64>,
    running: RefCell<BTreeMap<String, (u64, Instant)>>,
    ended: RefCell<Vec<(u64, String, u64, &'static str)>>,
    number: Cell<u64>,
    /// Number of runs that were started.
    pub starts: Cell<u64>,
}

impl Worker {
    /// An executor whose tasks take `work`.
    pub fn new(work: Duration) -> Rc<Self> {
        Rc::new(Self {
            connections: Connections::new(CONNECTIONS),
            begun: Instant::now(),
            work,
            fence: Cell::new(0),
            running: RefCell::default(),
            ended: RefCell::default(),
            number: Cell::new(0),
            starts: Cell::new(0),
        })
    }

    fn clock(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn end(&self, task: &str, run: u64, how: &'static str) {
        self.running.borrow_mut().remove(task);
        self.number.set(self.number.get() + 1);
        let end = (self.number.get(), task.to_owned(), run, how);
        self.ended.borrow_mut().push(end);
    }

    fn advance(&self) {
        let now = Instant::now();
        let running = self.running.borrow();
        let due = running.iter().filter(|(_, (_, until))| *until <= now);
        let due: Vec<(String, u64)> = due.map(|(task, (run, _))| (task.clone(), *run)).collect();
        drop(running);
        for (task, run) in due {
            self.end(&task, run, "done");
        }
    }

    fn start(&self, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        self.starts.set(self.starts.get() + 1);
        let until = Instant::now() + self.work;
        self.running.borrow_mut().insert(task, (run, until));
        json(StatusCode::OK, &json!({ "clock_ms": self.clock() }))
    }

    fn stop(&self, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let there = self
            .running
            .borrow()
            .get(task)
            .is_some_and(|&(there, _)| there == run);
        if there {
            self.end(task, run, "stopped");
        }
        json(StatusCode::OK, &json!({ "clock_ms": self.clock() }))
    }

    async fn hold(&self, body: &Value) -> Answer {
        let acked = body["acked_upto"].as_u64().unwrap_or(0);
        self.ended
            .borrow_mut()
            .retain(|(number, ..)| *number > acked);
        let wait = body["wait_ms"].as_u64().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        while self.ended.borrow().is_empty() && Instant::now() < until {
            compio::time::sleep(LOOK).await;
            self.advance();
        }
        let running = self.running.borrow();
        let running = running
            .iter()
            .map(|(task, (run, _))| json!([task, run, "", 50, 0]));
        let running: Vec<Value> = running.collect();
        let ended = self.ended.borrow();
        let ended = ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]));
        let ended: Vec<Value> = ended.collect();
        json(
            StatusCode::OK,
            &json!({ "clock_ms": self.clock(), "running": running, "ended": ended }),
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

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> io::Result<Answer> {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        self.advance();
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < self.fence.get() {
            let refusal = json!({ "clock_ms": self.clock(), "reason": "fence" });
            return Ok(json(StatusCode::CONFLICT, &refusal));
        }
        self.fence.set(fence);
        let answer = match request.uri().path() {
            "/api/run-start" => self.start(&body),
            "/api/run-stop" => self.stop(&body),
            "/api/hold" => self.hold(&body).await,
            _ => plain(StatusCode::NOT_FOUND, ""),
        };
        Ok(answer)
    }
}
