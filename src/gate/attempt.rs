//! Sending of an attempt to a backend server.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::header::HeaderValue;

use crate::gate::AttemptOutcome;
use crate::gate::headers;
use crate::http::BackendConnection;
use crate::http::BackendError;
use crate::http::ResponseLimits;
use crate::name::TeamName;
use crate::wire::Evidence;
use crate::wire::Grant;

/// Time after which a backend server stops a task whose lease is not renewed, in milliseconds.
pub const LEASE_MS: u64 = 5_000;
/// Path for running a request at a backend server.
const RUN_PATH: &str = "/run";
/// Maximum time to connect to a backend server, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// HTTP status of a cancelled task.
const CANCELLED_STATUS: u16 = 499;

/// The parts of a request that are the same for each attempt.
#[derive(Debug)]
pub struct Payload {
    /// Headers of the caller that are forwarded.
    pub headers: HeaderMap,
    /// The complete body of the request.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Result of an attempt.
#[derive(Debug)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The backend server's response; `None` unless the outcome is `Answered` or `Failed`.
    pub response: Option<Response<Bytes>>,
    /// The connection, if it can be reused.
    pub backend: Option<BackendConnection>,
}

impl AttemptReport {
    const fn failed(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            response: None,
            backend: None,
        }
    }
}

/// Sends an attempt and waits for its response. The request is sent at most once: a new connection
/// is opened only if the idle one closed before anything was sent.
pub async fn run(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
    idle: Option<BackendConnection>,
) -> AttemptReport {
    if let Some(backend) = idle {
        let report = exchange(payload, grant, team, backend).await;
        if let Some(report) = report {
            return report;
        }
    }
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let Ok(Ok(backend)) = compio::time::timeout(limit, BackendConnection::open(grant.addr)).await
    else {
        return AttemptReport::failed(AttemptOutcome::NotRun(Evidence::Unreachable));
    };
    let report = exchange(payload, grant, team, backend).await;
    report.unwrap_or_else(|| AttemptReport::failed(AttemptOutcome::NotRun(Evidence::Unreachable)))
}

/// Sends the request on a connection. Returns `None` if the connection closed before that.
async fn exchange(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
    mut backend: BackendConnection,
) -> Option<AttemptReport> {
    let Ok(request) = request(payload, grant, team) else {
        return Some(AttemptReport::failed(AttemptOutcome::NotRun(
            Evidence::Nothing,
        )));
    };
    match backend.exchange(request, &ResponseLimits::default()).await {
        Ok(response) if is_matching(payload, grant, &response) => Some(classify(response, backend)),
        Err(BackendError::Unsent) => None,
        Ok(_) | Err(_) => Some(AttemptReport::failed(AttemptOutcome::Unknown)),
    }
}

/// Whether the attempt and request ids echoed in a response are those of the attempt. Ids that are
/// missing count as matching.
fn is_matching(payload: &Payload, grant: &Grant, response: &Response<Bytes>) -> bool {
    let attempt = grant.attempt.to_string();
    let echoed = |name| response.headers().get(name);
    let attempt_matches = echoed(headers::ATTEMPT_ID).is_none_or(|id| id == attempt.as_str());
    let request = payload.headers.get(headers::REQUEST_ID);
    attempt_matches && echoed(headers::REQUEST_ID).is_none_or(|id| Some(id) == request)
}

fn classify(response: Response<Bytes>, backend: BackendConnection) -> AttemptReport {
    let status = response.status();
    let refused = response.headers().contains_key(headers::NOT_RUN);
    let outcome = if refused && (status.is_client_error() || status.is_server_error()) {
        AttemptOutcome::NotRun(Evidence::Nothing)
    } else if status.as_u16() == CANCELLED_STATUS {
        AttemptOutcome::Unknown
    } else if status.is_server_error() {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    AttemptReport {
        outcome,
        response: matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed)
            .then_some(response),
        backend: Some(backend),
    }
}

/// Builds the request of an attempt. Headers set here override those of the caller.
fn request(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let remaining = payload.deadline.saturating_duration_since(Instant::now());
    let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let mut request = Request::post(RUN_PATH).body(Full::new(payload.body.clone()))?;
    let sent = request.headers_mut();
    *sent = payload.headers.clone();
    sent.insert(hyper::header::HOST, header_value(&grant.addr.to_string())?);
    sent.insert(
        headers::ATTEMPT_ID,
        header_value(&grant.attempt.to_string())?,
    );
    sent.insert(headers::TEAM, header_value(team.as_str())?);
    sent.insert(headers::LEASE_MS, HeaderValue::from(LEASE_MS));
    sent.insert(headers::DEADLINE_MS, HeaderValue::from(remaining));
    Ok(request)
}

fn header_value(value: &str) -> Result<HeaderValue, hyper::http::Error> {
    Ok(HeaderValue::from_str(value)?)
}
