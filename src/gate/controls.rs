//! Renewals and cancellations at backend servers.

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
use crate::wire::AttemptId;

/// Longest that a renewal or cancellation may take, in milliseconds.
const CONTROL_MS: u64 = 1_000;
/// Attempts that one cancellation names at most.
const CANCEL_LIMIT: usize = 1_024;

#[derive(Deserialize)]
struct Renewed {
    unknown: Vec<String>,
}

#[derive(Deserialize)]
struct Cancelled {
    unknown: Vec<String>,
    refused: Option<Vec<String>>,
}

/// Control requests, each on a connection of its own; at most one cancellation a backend server
/// is under way, so that a wave of them takes few connections.
pub struct Controls {
    waiting: HashMap<SocketAddr, Vec<AttemptId>>,
    busy: HashSet<SocketAddr>,
    inputs: UnboundedSender<Input>,
}

impl Controls {
    /// Control requests whose answers go to `inputs`.
    pub fn open(inputs: UnboundedSender<Input>) -> Self {
        Self {
            waiting: HashMap::new(),
            busy: HashSet::new(),
            inputs,
        }
    }

    /// Extends the leases of attempts.
    pub fn renew(&self, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let inputs = self.inputs.clone();
        compio::runtime::spawn(async move {
            let body = json!({ "attempts": names(&attempts), "lease_ms": LEASE_MS });
            if let Some(renewed) = post::<Renewed>(addr, "/leases", &body).await {
                let unknown = among(&attempts, &renewed.unknown);
                let _ = inputs.unbounded_send(Input::UnknownAttempts(unknown));
            }
        })
        .detach();
    }

    /// Ends attempts, in the next cancellation.
    pub fn cancel(&mut self, addr: SocketAddr, attempts: Vec<AttemptId>) {
        self.waiting.entry(addr).or_default().extend(attempts);
    }

    /// Starts the cancellations that wait.
    pub fn flush(&mut self) {
        let busy = &self.busy;
        let free = self.waiting.keys().filter(|addr| !busy.contains(addr));
        for addr in free.copied().collect::<Vec<_>>() {
            self.start(addr);
        }
    }

    /// Notes that a cancellation is over.
    pub fn done(&mut self, addr: SocketAddr) {
        self.busy.remove(&addr);
    }

    fn start(&mut self, addr: SocketAddr) {
        let Some(mut attempts) = self.waiting.remove(&addr) else {
            return;
        };
        if attempts.len() > CANCEL_LIMIT {
            let rest = attempts.split_off(CANCEL_LIMIT);
            self.waiting.insert(addr, rest);
        }
        self.busy.insert(addr);
        let inputs = self.inputs.clone();
        compio::runtime::spawn(async move {
            let body = json!({ "attempts": names(&attempts) });
            let cancelled = post::<Cancelled>(addr, "/cancel", &body).await;
            let settled = settle(attempts, cancelled.as_ref());
            let _ = inputs.unbounded_send(Input::CancelResult { addr, settled });
        })
        .detach();
    }
}

fn settle(
    attempts: Vec<AttemptId>,
    cancelled: Option<&Cancelled>,
) -> Vec<(AttemptId, CancelResult)> {
    let settled = |attempt: &AttemptId| {
        let Some(cancelled) = cancelled else {
            return CancelResult::Unreachable;
        };
        let name = attempt.to_string();
        match &cancelled.refused {
            Some(refused) if refused.contains(&name) => CancelResult::Refused,
            // Without a promise to refuse it, an unknown attempt may still arrive.
            None if cancelled.unknown.contains(&name) => CancelResult::Unreachable,
            _ => CancelResult::Stopped,
        }
    };
    attempts.into_iter().map(|a| (a, settled(&a))).collect()
}

fn names(attempts: &[AttemptId]) -> Vec<String> {
    attempts.iter().map(ToString::to_string).collect()
}

fn among(attempts: &[AttemptId], names: &[String]) -> Vec<AttemptId> {
    let named = |attempt: &&AttemptId| names.contains(&attempt.to_string());
    attempts.iter().filter(named).copied().collect()
}

/// Sends a control request on a connection of its own.
async fn post<T: DeserializeOwned>(addr: SocketAddr, path: &str, body: &Value) -> Option<T> {
    let exchange = async move {
        let mut backend = BackendConnection::open(addr).await.ok()?;
        let request = Request::post(path)
            .header(hyper::header::HOST, addr.to_string())
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let answer = backend.exchange(request).await.ok()?;
        let taken = answer.status() == StatusCode::OK;
        serde_json::from_slice(answer.body()).ok().filter(|_| taken)
    };
    let limit = Duration::from_millis(CONTROL_MS);
    compio::time::timeout(limit, exchange).await.ok().flatten()
}
