//! One attempt to run a request at a backend server.

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
use crate::name::TeamName;
use crate::wire::Evidence;
use crate::wire::Grant;

/// Time after which a backend server ends a task whose lease is not renewed, in milliseconds.
pub const LEASE_MS: u64 = 5_000;
/// Path of requests at a backend server.
const RUN_PATH: &str = "/run";
/// Longest that connecting may take, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// Status of a task that was cancelled.
const CANCELLED: u16 = 499;

/// The request as it goes out, the same for each attempt.
#[derive(Debug)]
pub struct Payload {
    /// Headers of the caller that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// How an attempt ended, with the answer if there is one, and the connection if it can be used
/// again.
#[derive(Debug)]
pub struct Report {
    /// How it ended.
    pub ended: AttemptOutcome,
    /// The backend server's answer to the caller.
    pub answer: Option<Response<Bytes>>,
    /// The connection.
    pub backend: Option<BackendConnection>,
}

impl Report {
    const fn failed(ended: AttemptOutcome) -> Self {
        Self {
            ended,
            answer: None,
            backend: None,
        }
    }
}

/// Runs an attempt until its answer; it sends the request once at most.
pub async fn run(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
    idle: Option<BackendConnection>,
) -> Report {
    if let Some(backend) = idle {
        let report = exchange(payload, grant, team, backend).await;
        if let Some(report) = report {
            return report;
        }
    }
    let limit = Duration::from_millis(CONNECT_MS);
    let Ok(Ok(backend)) = compio::time::timeout(limit, BackendConnection::open(grant.addr)).await
    else {
        return Report::failed(AttemptOutcome::NotRun(Evidence::Unreachable));
    };
    let report = exchange(payload, grant, team, backend).await;
    report.unwrap_or_else(|| Report::failed(AttemptOutcome::NotRun(Evidence::Unreachable)))
}

/// Sends the request on a connection; none if the connection closed before that.
async fn exchange(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
    mut backend: BackendConnection,
) -> Option<Report> {
    let Ok(request) = request(payload, grant, team) else {
        return Some(Report::failed(AttemptOutcome::NotRun(Evidence::Nothing)));
    };
    match backend.exchange(request).await {
        Ok(answer) if is_own(payload, grant, &answer) => Some(judge(answer, backend)),
        Err(BackendError::Unsent) => None,
        Ok(_) | Err(_) => Some(Report::failed(AttemptOutcome::Unknown)),
    }
}

/// Whether the identities that an answer repeats are those of the attempt.
fn is_own(payload: &Payload, grant: &Grant, answer: &Response<Bytes>) -> bool {
    let attempt = grant.attempt.to_string();
    let repeated = |name| answer.headers().get(name);
    let own_attempt = repeated(headers::ATTEMPT_ID).is_none_or(|id| id == attempt.as_str());
    let request = payload.headers.get(headers::REQUEST_ID);
    own_attempt && repeated(headers::REQUEST_ID).is_none_or(|id| Some(id) == request)
}

fn judge(answer: Response<Bytes>, backend: BackendConnection) -> Report {
    let status = answer.status();
    let refused = answer.headers().contains_key(headers::NOT_RUN);
    let ended = if refused && (status.is_client_error() || status.is_server_error()) {
        AttemptOutcome::NotRun(Evidence::Nothing)
    } else if status.as_u16() == CANCELLED {
        AttemptOutcome::Unknown
    } else if status.is_server_error() {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    Report {
        ended,
        answer: matches!(ended, AttemptOutcome::Answered | AttemptOutcome::Failed)
            .then_some(answer),
        backend: Some(backend),
    }
}

/// The request for an attempt; what the gate says replaces what a caller said under these names.
fn request(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let left = payload.deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let mut request = Request::post(RUN_PATH).body(Full::new(payload.body.clone()))?;
    let sent = request.headers_mut();
    *sent = payload.headers.clone();
    sent.insert(hyper::header::HOST, text(&grant.addr.to_string())?);
    sent.insert(headers::ATTEMPT_ID, text(&grant.attempt.to_string())?);
    sent.insert(headers::TEAM, text(team.as_str())?);
    sent.insert(headers::LEASE_MS, HeaderValue::from(LEASE_MS));
    sent.insert(headers::DEADLINE_MS, HeaderValue::from(left));
    Ok(request)
}

fn text(value: &str) -> Result<HeaderValue, hyper::http::Error> {
    Ok(HeaderValue::from_str(value)?)
}
