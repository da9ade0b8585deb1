//! The tasks of one backend server and a record of their events.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::clock::unix_ms;

/// Kind of an event in a task's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// The task was started.
    Start,
    /// The task completed.
    End,
    /// The task was ended because its lease expired.
    Lapsed,
    /// The task was cancelled on request.
    Cancelled,
    /// The task failed.
    Failed,
}

/// The identifiers of a task, as its caller gave them.
#[derive(Clone, Debug, Serialize)]
pub struct TaskNames {
    /// Id of the attempt, which is run at most once.
    pub attempt: String,
    /// Id of the caller's request; its attempts share it.
    pub request: String,
    /// Name of the caller's team.
    pub team: String,
}

#[derive(Serialize)]
struct Event {
    #[serde(flatten)]
    names: TaskNames,
    kind: EventKind,
    at_ms: u64,
}

/// Why a task was not started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The attempt was started or refused before.
    Repeated,
    /// All slots are in use.
    Full,
}

struct RunningTask {
    names: TaskNames,
    lease: Instant,
}

/// The running tasks of one backend server and the record of all that were started.
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
    /// Creates an empty set that runs up to `slots` tasks at a time.
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

    /// Starts a task whose lease expires at `lease`.
    ///
    /// # Errors
    /// The attempt was seen before, or no slot is free.
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

    /// Ends a task and returns whether it was running.
    pub fn end(&mut self, attempt: &str, kind: EventKind) -> bool {
        let Some(task) = self.running.remove(attempt) else {
            return false;
        };
        self.record(task.names, kind);
        self.ended += 1;
        true
    }

    /// Refuses an attempt from now on, unless it was started before. Returns whether it is refused.
    pub fn refuse(&mut self, attempt: &str) -> bool {
        if self.seen.insert(attempt.to_owned()) {
            self.refused.insert(attempt.to_owned());
        }
        self.refused.contains(attempt)
    }

    /// Sets when the lease of a running task expires. Returns whether the task is running.
    pub fn renew(&mut self, attempt: &str, lease: Instant) -> bool {
        let task = self.running.get_mut(attempt);
        task.map(|task| task.lease = lease).is_some()
    }

    /// When the lease of a task expires; `None` if the task is not running.
    pub fn lease_end(&self, attempt: &str) -> Option<Instant> {
        self.running.get(attempt).map(|task| task.lease)
    }

    /// Clears the record, but keeps running tasks and the attempts seen, which still run only once.
    pub fn clear(&mut self) {
        self.max_running = self.running.len();
        self.started = 0;
        self.ended = 0;
        self.by_request.clear();
        self.events.clear();
    }

    /// Returns the counts as a JSON object.
    pub fn summary(&self) -> Value {
        json!({
            "running": self.running.len(),
            "max_running": self.max_running,
            "started": self.started,
            "ended": self.ended,
        })
    }

    /// Returns the counts, the starts by request, and all events as a JSON object.
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
