//! The tasks of one backend server and their record.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::clock::unix_ms;

/// A step in a task's life.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// It began to run.
    Start,
    /// It ran to its end.
    End,
    /// Its lease ran out.
    Lapsed,
    /// It was told to end.
    Cancelled,
    /// It failed.
    Failed,
}

/// What a task is called by those who asked for it.
#[derive(Clone, Debug, Serialize)]
pub struct TaskNames {
    /// The attempt, which runs at most once.
    pub attempt: String,
    /// The caller's request.
    pub request: String,
    /// The caller's team.
    pub team: String,
}

#[derive(Serialize)]
struct Event {
    #[serde(flatten)]
    names: TaskNames,
    kind: EventKind,
    at_ms: u64,
}

/// Why a task wasn't started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The attempt was seen before.
    Repeated,
    /// Every slot is taken.
    Full,
}

struct RunningTask {
    names: TaskNames,
    lease: Instant,
}

/// The tasks of one backend server.
pub struct Runs {
    slots: usize,
    running: HashMap<String, RunningTask>,
    seen: HashSet<String>,
    refused: HashSet<String>,
    max_running: usize,
    started: u64,
    ended: u64,
    by_request: BTreeMap<String, u64>,
    events: Vec<Event>,
}

impl Runs {
    /// No tasks, and room for `slots` at the same time.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: HashMap::new(),
            seen: HashSet::new(),
            refused: HashSet::new(),
            max_running: 0,
            started: 0,
            ended: 0,
            by_request: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Starts a task whose lease runs out at `lease`.
    ///
    /// # Errors
    /// The attempt is a repeated one, or there's no free slot.
    pub fn start(&mut self, names: TaskNames, lease: Instant) -> Result<(), Refusal> {
        if self.seen.contains(&names.attempt) {
            return Err(Refusal::Repeated);
        }
        if self.running.len() >= self.slots {
            return Err(Refusal::Full);
        }
        self.seen.insert(names.attempt.clone());
        self.record(names.clone(), EventKind::Start);
        self.started += 1;
        *self.by_request.entry(names.request.clone()).or_default() += 1;
        let attempt = names.attempt.clone();
        self.running.insert(attempt, RunningTask { names, lease });
        self.max_running = self.max_running.max(self.running.len());
        Ok(())
    }

    /// Ends a running task, and says whether there was one.
    pub fn end(&mut self, attempt: &str, kind: EventKind) -> bool {
        let Some(task) = self.running.remove(attempt) else {
            return false;
        };
        self.record(task.names, kind);
        self.ended += 1;
        true
    }

    /// Refuses an attempt from now on, unless it was seen before, and says whether it's refused.
    pub fn refuse(&mut self, attempt: &str) -> bool {
        if self.seen.insert(attempt.to_owned()) {
            self.refused.insert(attempt.to_owned());
        }
        self.refused.contains(attempt)
    }

    /// Sets the end of a running task's lease, and says whether there's such a task.
    pub fn renew(&mut self, attempt: &str, lease: Instant) -> bool {
        let task = self.running.get_mut(attempt);
        task.map(|task| task.lease = lease).is_some()
    }

    /// When a running task's lease runs out.
    pub fn lease_end(&self, attempt: &str) -> Option<Instant> {
        self.running.get(attempt).map(|task| task.lease)
    }

    /// Forgets the record, but neither running tasks nor which attempts were seen.
    pub fn clear(&mut self) {
        self.max_running = self.running.len();
        self.started = 0;
        self.ended = 0;
        self.by_request.clear();
        self.events.clear();
    }

    /// The record in numbers.
    pub fn summary(&self) -> Value {
        json!({
            "running": self.running.len(),
            "max_running": self.max_running,
            "started": self.started,
            "ended": self.ended,
        })
    }

    /// The whole record.
    pub fn report(&self) -> Value {
        let mut report = self.summary();
        report["by_request"] = json!(self.by_request);
        report["events"] = json!(self.events);
        report
    }

    fn record(&mut self, names: TaskNames, kind: EventKind) {
        let at_ms = unix_ms();
        self.events.push(Event { names, kind, at_ms });
    }
}
