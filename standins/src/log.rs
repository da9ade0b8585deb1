//! Stand-in for the platform's append-only log, in memory.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compio::time::timeout_at;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::change_signal::ChangeSignal;
use crate::clock::unix_ms;
use crate::connections::ConnectionFault;
use crate::connections::Connections;
use crate::query::query_number;
use crate::serve::Handler;
use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::merge_switches;
use crate::serve::plain;

const MAX_WAIT_MS: u64 = 30_000;
const DEFAULT_MAX_RECORDS: u64 = 1_000;

/// Fault switches. `truncate_to` takes effect once when it is set, and always reads as null.
#[derive(Clone, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Switches {
    down: bool,
    slow_ms: u64,
    lose_answers: bool,
    truncate_to: Option<u64>,
    drop_connections: bool,
}

#[derive(Clone, Copy, Default, Serialize)]
struct Counters {
    appends: u64,
    reads: u64,
    bytes_in: u64,
    bytes_out: u64,
}

struct Record {
    at_ms: u64,
    data: Bytes,
}

#[derive(Default)]
struct State {
    first: u64,
    records: VecDeque<Record>,
    switches: Switches,
    counters: Counters,
}

impl State {
    fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn truncate(&mut self, first: u64) {
        let removed = first.min(self.head()).saturating_sub(self.first);
        self.records.drain(..removed as usize);
        self.first += removed;
    }

    fn append(&mut self, data: Bytes, keep: u64) -> u64 {
        let offset = self.head();
        self.counters.appends += 1;
        self.counters.bytes_in += data.len() as u64;
        self.records.push_back(Record {
            at_ms: unix_ms(),
            data,
        });
        self.truncate(self.head().saturating_sub(keep));
        offset
    }

    fn read(&mut self, from: u64, max: u64) -> HttpResponse {
        let (first, head) = (self.first, self.head());
        if from < first {
            return json(StatusCode::GONE, &json!({"first": first, "head": head}));
        }
        if from > head {
            let body = json!({"first": first, "head": head});
            return json(StatusCode::RANGE_NOT_SATISFIABLE, &body);
        }
        self.counters.reads += 1;
        let mut records = Vec::new();
        for offset in from..head.min(from.saturating_add(max)) {
            let record = &self.records[(offset - first) as usize];
            self.counters.bytes_out += record.data.len() as u64;
            records.push(json!({
                "offset": offset,
                "at_ms": record.at_ms,
                "data": STANDARD.encode(&record.data),
            }));
        }
        let body = json!({"first": first, "head": head, "records": records});
        json(StatusCode::OK, &body)
    }
}

/// An in-memory log that keeps a limited number of records.
pub struct Log {
    keep: u64,
    state: RefCell<State>,
    changed: ChangeSignal,
    connections: Connections,
}

impl Log {
    /// Creates an empty log that keeps the latest `keep` records.
    pub fn new(keep: u64) -> Self {
        Self {
            keep,
            state: RefCell::default(),
            changed: ChangeSignal::default(),
            connections: Connections::new(usize::MAX),
        }
    }

    /// Waits until `done` returns true, the log is down, or `deadline` has passed.
    async fn wait(&self, deadline: Instant, done: impl Fn(&State) -> bool) {
        timeout_at(deadline, async {
            while !self.is_down() && !done(&self.state.borrow()) {
                self.changed.wait_after(self.changed.count()).await;
            }
        })
        .await
        .ok();
    }

    fn append(&self, data: Bytes) -> HttpResponse {
        let offset = self.state.borrow_mut().append(data, self.keep);
        self.changed.notify();
        json(StatusCode::OK, &json!({"offset": offset}))
    }

    async fn read(&self, uri: &Uri) -> HttpResponse {
        let from = query_number(uri, "from").unwrap_or(0);
        let max = query_number(uri, "max").unwrap_or(DEFAULT_MAX_RECORDS);
        let wait_ms = query_number(uri, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        if wait_ms > 0 {
            let deadline = Instant::now() + Duration::from_millis(wait_ms);
            self.wait(deadline, |state| state.head() != from).await;
        }
        self.state.borrow_mut().read(from, max)
    }

    fn is_down(&self) -> bool {
        self.state.borrow().switches.down
    }

    async fn records(&self, request: Request<Bytes>) -> io::Result<HttpResponse> {
        if self.state.borrow().switches.drop_connections {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if self.is_down() {
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let appends = request.method() == Method::POST;
        let response = match *request.method() {
            Method::POST => self.append(request.into_body()),
            Method::GET => self.read(request.uri()).await,
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, ""),
        };
        if appends && self.state.borrow().switches.lose_answers {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let slow_ms = self.state.borrow().switches.slow_ms;
        if slow_ms > 0 {
            let deadline = Instant::now() + Duration::from_millis(slow_ms);
            self.wait(deadline, |_| false).await;
        }
        if self.is_down() {
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        Ok(response)
    }

    fn control(&self) -> HttpResponse {
        let state = self.state.borrow();
        let mut body = json!(state.switches);
        body["counters"] = json!(state.counters);
        json(StatusCode::OK, &body)
    }

    fn set_control(&self, body: &[u8]) -> HttpResponse {
        let switches = merge_switches(&self.state.borrow().switches, body);
        let mut switches: Switches = match switches {
            Ok(switches) => switches,
            Err(error) => return plain(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let drops = switches.drop_connections;
        let mut state = self.state.borrow_mut();
        if let Some(first) = switches.truncate_to.take() {
            state.truncate(first);
        }
        state.switches = switches;
        drop(state);
        self.changed.notify();
        if drops {
            self.connections.inject_all(ConnectionFault::Dropped);
        }
        self.control()
    }
}

impl Handler for Log {
    fn is_control(path: &str) -> bool {
        path == "/control"
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> io::Result<HttpResponse> {
        match (request.method(), request.uri().path()) {
            (_, "/v1/records") => self.records(request).await,
            (&Method::GET, "/control") => Ok(self.control()),
            (&Method::PUT, "/control") => Ok(self.set_control(request.body())),
            _ => Ok(plain(StatusCode::NOT_FOUND, "")),
        }
    }
}
