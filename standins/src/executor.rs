//! Stand-in for a backend server: runs each task on a slot until its lease expires.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::time::sleep;
use compio::time::timeout_at;
use futures_channel::oneshot;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::change_signal::ChangeSignal;
use crate::connections::ConnectionFault;
use crate::connections::Connections;
use crate::query::header;
use crate::query::header_number;
use crate::runs::EventKind;
use crate::runs::Refusal;
use crate::runs::Runs;
use crate::runs::TaskNames;
use crate::serve::Handler;
use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::merge_switches;
use crate::serve::plain;
use crate::serve::with_json;

const CLIENT_CLOSED_REQUEST: u16 = 499;

/// Fault switches. `silent` takes effect once when it is set, and always reads as false.
#[derive(Clone, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Switches {
    fail_all: bool,
    hang: bool,
    late_ms: u64,
    silent: bool,
    refuse: bool,
}

#[derive(Deserialize)]
struct Renewal {
    attempts: Vec<String>,
    lease_ms: u64,
}

#[derive(Deserialize)]
struct Cancellation {
    attempts: Vec<String>,
}

struct Task {
    names: TaskNames,
    lease: Duration,
    run_time: Duration,
    body: Bytes,
}

/// A backend server with a fixed number of slots.
pub struct Executor {
    mean_run: Duration,
    runs: RefCell<Runs>,
    switches: RefCell<Switches>,
    changed: ChangeSignal,
    connections: Connections,
}

impl Executor {
    /// Creates a server with `slots` slots that accepts up to `connections` connections at a time.
    ///
    /// A task without an `x-run-ms` header runs for a random time with mean `mean_run`.
    pub fn new(slots: usize, connections: usize, mean_run: Duration) -> Self {
        Self {
            mean_run,
            runs: RefCell::new(Runs::new(slots)),
            switches: RefCell::default(),
            changed: ChangeSignal::default(),
            connections: Connections::new(connections),
        }
    }

    /// Returns a random, exponentially distributed run time.
    fn draw_run(&self) -> Duration {
        let share: f64 = rand::random();
        self.mean_run.mul_f64(-(1.0 - share).ln())
    }

    fn parse_task(&self, request: &Request<Bytes>) -> Option<Task> {
        let headers = request.headers();
        let run_time = header_number(headers, "x-run-ms").map(Duration::from_millis);
        Some(Task {
            names: TaskNames {
                attempt: header(headers, "x-attempt-id")?.to_owned(),
                request: header(headers, "x-request-id")?.to_owned(),
                team: header(headers, "x-team")?.to_owned(),
            },
            lease: Duration::from_millis(header_number(headers, "x-lease-ms")?),
            run_time: run_time.unwrap_or_else(|| self.draw_run()),
            body: request.body().clone(),
        })
    }

    async fn run(self: Rc<Self>, request: Request<Bytes>) -> HttpResponse {
        let Some(task) = self.parse_task(&request) else {
            return plain(StatusCode::BAD_REQUEST, "a header is missing or ill-formed");
        };
        let switches = self.switches.borrow().clone();
        if switches.refuse {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        let now = Instant::now();
        let started = self
            .runs
            .borrow_mut()
            .start(task.names.clone(), now + task.lease);
        match started {
            Err(Refusal::Repeated) => return not_run(StatusCode::CONFLICT, "seen before"),
            Err(Refusal::Full) => return not_run(StatusCode::SERVICE_UNAVAILABLE, "full"),
            Ok(()) => {}
        }
        let kind = if switches.fail_all {
            self.runs
                .borrow_mut()
                .end(&task.names.attempt, EventKind::Failed);
            EventKind::Failed
        } else {
            let due = (!switches.hang).then(|| now + task.run_time);
            self.clone()
                .run_to_end(task.names.attempt.clone(), due)
                .await
        };
        if switches.late_ms > 0 {
            sleep(Duration::from_millis(switches.late_ms)).await;
        }
        task_response(&task, kind)
    }

    /// Waits for the end of an attempt in a spawned task, which outlives the connection.
    async fn run_to_end(self: Rc<Self>, attempt: String, due: Option<Instant>) -> EventKind {
        let (sender, receiver) = oneshot::channel();
        compio::runtime::spawn(async move {
            sender.send(self.wait_for_end(&attempt, due).await).ok();
        })
        .detach();
        receiver.await.unwrap_or(EventKind::Failed)
    }

    async fn wait_for_end(&self, attempt: &str, due: Option<Instant>) -> EventKind {
        loop {
            let seen = self.changed.count();
            let Some(lease) = self.runs.borrow().lease_end(attempt) else {
                return EventKind::Cancelled;
            };
            let kind = match due {
                Some(due) if due <= lease => EventKind::End,
                _ => EventKind::Lapsed,
            };
            let until = due.map_or(lease, |due| due.min(lease));
            if until <= Instant::now() {
                self.runs.borrow_mut().end(attempt, kind);
                return kind;
            }
            timeout_at(until, self.changed.wait_after(seen)).await.ok();
        }
    }

    fn renew(&self, renewal: Renewal) -> HttpResponse {
        let lease = Instant::now() + Duration::from_millis(renewal.lease_ms);
        let mut unknown = renewal.attempts;
        unknown.retain(|attempt| !self.runs.borrow_mut().renew(attempt, lease));
        self.changed.notify();
        json(StatusCode::OK, &json!({"unknown": unknown}))
    }

    fn cancel(&self, cancellation: Cancellation) -> HttpResponse {
        let mut unknown = cancellation.attempts;
        unknown.retain(|attempt| !self.runs.borrow_mut().end(attempt, EventKind::Cancelled));
        let mut refused = unknown.clone();
        refused.retain(|attempt| self.runs.borrow_mut().refuse(attempt));
        self.changed.notify();
        json(
            StatusCode::OK,
            &json!({"unknown": unknown, "refused": refused}),
        )
    }

    fn clear(&self) -> HttpResponse {
        self.runs.borrow_mut().clear();
        plain(StatusCode::OK, "")
    }

    fn control(&self) -> HttpResponse {
        json(StatusCode::OK, &*self.switches.borrow())
    }

    fn set_control(&self, body: &[u8]) -> HttpResponse {
        let switches = merge_switches(&*self.switches.borrow(), body);
        let mut switches: Switches = match switches {
            Ok(switches) => switches,
            Err(error) => return plain(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if std::mem::take(&mut switches.silent) {
            self.connections.inject_all(ConnectionFault::Silent);
        }
        self.switches.replace(switches);
        self.control()
    }
}

impl Handler for Executor {
    fn is_control(path: &str) -> bool {
        path == "/control" || path.starts_with("/runs")
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> io::Result<HttpResponse> {
        let body = request.body();
        Ok(match (request.method(), request.uri().path()) {
            (&Method::POST, "/run") => self.run(request).await,
            (&Method::POST, "/leases") => with_json(body, |renewal| self.renew(renewal)),
            (&Method::POST, "/cancel") => with_json(body, |given| self.cancel(given)),
            (&Method::GET, "/runs") => json(StatusCode::OK, &self.runs.borrow().report()),
            (&Method::GET, "/runs/summary") => json(StatusCode::OK, &self.runs.borrow().summary()),
            (&Method::DELETE, "/runs") => self.clear(),
            (&Method::GET, "/control") => self.control(),
            (&Method::PUT, "/control") => self.set_control(body),
            _ => plain(StatusCode::NOT_FOUND, ""),
        })
    }
}

fn not_run(status: StatusCode, reason: &'static str) -> HttpResponse {
    let mut response = plain(status, reason);
    let headers = response.headers_mut();
    headers.insert("x-not-run", HeaderValue::from_static("1"));
    response
}

fn task_response(task: &Task, kind: EventKind) -> HttpResponse {
    let cancelled = StatusCode::from_u16(CLIENT_CLOSED_REQUEST);
    let mut response = match kind {
        EventKind::Start | EventKind::End => {
            let mut body = format!("{}:", task.names.request).into_bytes();
            body.extend_from_slice(&task.body);
            plain(StatusCode::OK, body)
        }
        EventKind::Lapsed => plain(StatusCode::GATEWAY_TIMEOUT, "lapsed"),
        EventKind::Cancelled => plain(cancelled.unwrap_or(StatusCode::GONE), "cancelled"),
        EventKind::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    let echoed = [
        ("x-request-id", &task.names.request),
        ("x-attempt-id", &task.names.attempt),
    ];
    for (name, id) in echoed {
        if let Ok(id) = HeaderValue::from_str(id) {
            response.headers_mut().insert(name, id);
        }
    }
    response
}
