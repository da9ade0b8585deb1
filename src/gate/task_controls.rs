//! Lease renewals and cancellations at backend servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::gate::CancelResult;
use crate::gate::attempt::LEASE_MS;
use crate::gate::step::Input;
use crate::http::BackendConnection;
use crate::http::ResponseLimits;
use crate::wire::AttemptId;

/// Maximum time for one renewal or cancellation request, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of attempts in one cancellation request.
const MAX_CANCEL_ATTEMPTS: usize = 1_024;

/// Response of a backend server to a renewal.
#[derive(Deserialize)]
struct Renewed {
    /// Attempts that the server does not run.
    unknown: Vec<String>,
}

/// Response of a backend server to a cancellation.
#[derive(Deserialize)]
struct Cancelled {
    /// Attempts that the server does not run.
    unknown: Vec<String>,
    /// Attempts that the server refuses from now on; `None` if it does not report refusals.
    refused: Option<Vec<String>>,
}

/// Sends control requests, each on a new connection. At most one cancellation per backend server is
/// in progress, so that many cancellations at once need few connections.
pub struct TaskControls {
    queued: HashMap<SocketAddr, Vec<AttemptId>>,
    busy: HashSet<SocketAddr>,
    inputs: UnboundedSender<Input>,
}

impl TaskControls {
    /// Creates the controls; results are sent to `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Self {
        Self {
            queued: HashMap::new(),
            busy: HashSet::new(),
            inputs,
        }
    }

    /// Renews the leases of attempts, and reports those that the backend server does not know.
    pub fn renew(&self, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let inputs = self.inputs.clone();
        compio::runtime::spawn(async move {
            let body = json!({ "attempts": to_strings(&attempts), "lease_ms": LEASE_MS });
            if let Some(renewed) = post::<Renewed>(addr, "/leases", &body).await {
                let unknown = matching(&attempts, &renewed.unknown);
                let _ = inputs.unbounded_send(Input::UnknownAttempts(unknown));
            }
        })
        .detach();
    }

    /// Queues attempts for cancellation.
    pub fn cancel(&mut self, addr: SocketAddr, attempts: Vec<AttemptId>) {
        self.queued.entry(addr).or_default().extend(attempts);
    }

    /// Sends queued cancellations to all backend servers without one in progress.
    pub fn flush(&mut self) {
        let busy = &self.busy;
        let free = self.queued.keys().filter(|addr| !busy.contains(addr));
        for addr in free.copied().collect::<Vec<_>>() {
            self.start_cancellation(addr);
        }
    }

    /// Records that a cancellation has finished, so that the next one may start.
    pub fn finish_cancellation(&mut self, addr: SocketAddr) {
        self.busy.remove(&addr);
    }

    fn start_cancellation(&mut self, addr: SocketAddr) {
        let Some(mut attempts) = self.queued.remove(&addr) else {
            return;
        };
        if attempts.len() > MAX_CANCEL_ATTEMPTS {
            let rest = attempts.split_off(MAX_CANCEL_ATTEMPTS);
            self.queued.insert(addr, rest);
        }
        self.busy.insert(addr);
        let inputs = self.inputs.clone();
        compio::runtime::spawn(async move {
            let body = json!({ "attempts": to_strings(&attempts) });
            let cancelled = post::<Cancelled>(addr, "/cancel", &body).await;
            let results = cancel_results(attempts, cancelled.as_ref());
            let _ = inputs.unbounded_send(Input::CancelResult { addr, results });
        })
        .detach();
    }
}

fn cancel_results(
    attempts: Vec<AttemptId>,
    cancelled: Option<&Cancelled>,
) -> Vec<(AttemptId, CancelResult)> {
    let result = |attempt: &AttemptId| {
        let Some(cancelled) = cancelled else {
            return CancelResult::Unreachable;
        };
        let name = attempt.to_string();
        match &cancelled.refused {
            Some(refused) if refused.contains(&name) => CancelResult::Refused,
            // Unless the server refuses it from now on, an unknown attempt may still arrive.
            None if cancelled.unknown.contains(&name) => CancelResult::Unreachable,
            _ => CancelResult::Stopped,
        }
    };
    attempts.into_iter().map(|a| (a, result(&a))).collect()
}

fn to_strings(attempts: &[AttemptId]) -> Vec<String> {
    attempts.iter().map(ToString::to_string).collect()
}

fn matching(attempts: &[AttemptId], names: &[String]) -> Vec<AttemptId> {
    let named = |attempt: &&AttemptId| names.contains(&attempt.to_string());
    attempts.iter().filter(named).copied().collect()
}

/// Sends a control request on a new connection. Returns `None` unless it succeeds in time.
async fn post<T: DeserializeOwned>(addr: SocketAddr, path: &str, body: &Value) -> Option<T> {
    let exchange = async move {
        let mut backend = BackendConnection::open(addr).await.ok()?;
        let request = Request::post(path)
            .header(hyper::header::HOST, addr.to_string())
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let response = backend
            .exchange(request, &ResponseLimits::default())
            .await
            .ok()?;
        let succeeded = response.status() == StatusCode::OK;
        serde_json::from_slice(response.body())
            .ok()
            .filter(|_| succeeded)
    };
    let limit = Duration::from_millis(CONTROL_TIMEOUT_MS);
    compio::time::timeout(limit, exchange).await.ok().flatten()
}
