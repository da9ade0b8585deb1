//! A backend server that runs tasks on slots, under leases.

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

use crate::connections::Connections;
use crate::connections::Fate;
use crate::notice::Notice;
use crate::query::header;
use crate::query::header_number;
use crate::runs::Kind;
use crate::runs::Names;
use crate::runs::Refusal;
use crate::runs::Runs;
use crate::serve::Answer;
use crate::serve::Handler;
use crate::serve::json;
use crate::serve::plain;
use crate::serve::replace;
use crate::serve::with_json;

const CLIENT_CLOSED_REQUEST: u16 = 499;

/// The switches for faults; `silent` acts once and reads as false.
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
    names: Names,
    lease: Duration,
    run: Duration,
    body: Bytes,
}

/// One backend server.
pub struct Executor {
    mean_run: Duration,
    runs: RefCell<Runs>,
    switches: RefCell<Switches>,
    changed: Notice,
    connections: Connections,
}

impl Executor {
    /// A server with `slots` slots that takes `connections` connections.
    ///
    /// A task that doesn't say how long it runs does so for `mean_run` in the mean.
    pub fn new(slots: usize, connections: usize, mean_run: Duration) -> Self {
        Self {
            mean_run,
            runs: RefCell::new(Runs::new(slots)),
            switches: RefCell::default(),
            changed: Notice::default(),
            connections: Connections::new(connections),
        }
    }

    /// Draws an exponentially distributed run time.
    fn draw_run(&self) -> Duration {
        let share: f64 = rand::random();
        self.mean_run.mul_f64(-(1.0 - share).ln())
    }

    fn task(&self, request: &Request<Bytes>) -> Option<Task> {
        let headers = request.headers();
        let run = header_number(headers, "x-run-ms").map(Duration::from_millis);
        Some(Task {
            names: Names {
                attempt: header(headers, "x-attempt-id")?.to_owned(),
                request: header(headers, "x-request-id")?.to_owned(),
                team: header(headers, "x-team")?.to_owned(),
            },
            lease: Duration::from_millis(header_number(headers, "x-lease-ms")?),
            run: run.unwrap_or_else(|| self.draw_run()),
            body: request.body().clone(),
        })
    }

    async fn run(self: Rc<Self>, request: Request<Bytes>) -> Answer {
        let Some(task) = self.task(&request) else {
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
                .end(&task.names.attempt, Kind::Failed);
            Kind::Failed
        } else {
            let due = (!switches.hang).then(|| now + task.run);
            self.clone().finish(task.names.attempt.clone(), due).await
        };
        if switches.late_ms > 0 {
            sleep(Duration::from_millis(switches.late_ms)).await;
        }
        answer_to(&task, kind)
    }

    /// Waits for a task's end on a task of its own, which outlives the connection.
    async fn finish(self: Rc<Self>, attempt: String, due: Option<Instant>) -> Kind {
        let (sender, receiver) = oneshot::channel();
        compio::runtime::spawn(async move {
            sender.send(self.watch(&attempt, due).await).ok();
        })
        .detach();
        receiver.await.unwrap_or(Kind::Failed)
    }

    async fn watch(&self, attempt: &str, due: Option<Instant>) -> Kind {
        loop {
            let seen = self.changed.count();
            let Some(lease) = self.runs.borrow().lease(attempt) else {
                return Kind::Cancelled;
            };
            let kind = match due {
                Some(due) if due <= lease => Kind::End,
                _ => Kind::Lapsed,
            };
            let until = due.map_or(lease, |due| due.min(lease));
            if until <= Instant::now() {
                self.runs.borrow_mut().end(attempt, kind);
                return kind;
            }
            timeout_at(until, self.changed.after(seen)).await.ok();
        }
    }

    fn renew(&self, renewal: Renewal) -> Answer {
        let lease = Instant::now() + Duration::from_millis(renewal.lease_ms);
        let mut unknown = renewal.attempts;
        unknown.retain(|attempt| !self.runs.borrow_mut().renew(attempt, lease));
        self.changed.post();
        json(StatusCode::OK, &json!({"unknown": unknown}))
    }

    fn cancel(&self, cancellation: Cancellation) -> Answer {
        let mut unknown = cancellation.attempts;
        unknown.retain(|attempt| !self.runs.borrow_mut().end(attempt, Kind::Cancelled));
        let mut refused = unknown.clone();
        refused.retain(|attempt| self.runs.borrow_mut().refuse(attempt));
        self.changed.post();
        json(
            StatusCode::OK,
            &json!({"unknown": unknown, "refused": refused}),
        )
    }

    fn clear(&self) -> Answer {
        self.runs.borrow_mut().clear();
        plain(StatusCode::OK, "")
    }

    fn control(&self) -> Answer {
        json(StatusCode::OK, &*self.switches.borrow())
    }

    fn set_control(&self, body: &[u8]) -> Answer {
        let switches = replace(&*self.switches.borrow(), body);
        let mut switches: Switches = match switches {
            Ok(switches) => switches,
            Err(error) => return plain(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if std::mem::take(&mut switches.silent) {
            self.connections.end_all(Fate::Silent);
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

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> io::Result<Answer> {
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

fn not_run(status: StatusCode, why: &'static str) -> Answer {
    let mut answer = plain(status, why);
    let headers = answer.headers_mut();
    headers.insert("x-not-run", HeaderValue::from_static("1"));
    answer
}

fn answer_to(task: &Task, kind: Kind) -> Answer {
    let cancelled = StatusCode::from_u16(CLIENT_CLOSED_REQUEST);
    let mut answer = match kind {
        Kind::Start | Kind::End => {
            let mut body = format!("{}:", task.names.request).into_bytes();
            body.extend_from_slice(&task.body);
            plain(StatusCode::OK, body)
        }
        Kind::Lapsed => plain(StatusCode::GATEWAY_TIMEOUT, "lapsed"),
        Kind::Cancelled => plain(cancelled.unwrap_or(StatusCode::GONE), "cancelled"),
        Kind::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    let repeated = [
        ("x-request-id", &task.names.request),
        ("x-attempt-id", &task.names.attempt),
    ];
    for (name, id) in repeated {
        if let Ok(id) = HeaderValue::from_str(id) {
            answer.headers_mut().insert(name, id);
        }
    }
    answer
}
