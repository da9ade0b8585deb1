//! One attempt to run a request at a backend server.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;

use crate::gate::Ended;
use crate::gate::backend::Backend;
use crate::gate::backend::BackendError;
use crate::gate::headers;
use crate::name::TeamName;
use crate::wire::Grant;

/// Time after which a backend server ends a task whose lease is not renewed, in milliseconds.
pub const LEASE_MS: u64 = 5_000;
/// Path of requests at a backend server.
const RUN_PATH: &str = "/run";

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
    pub ended: Ended,
    /// The backend server's answer to the caller.
    pub answer: Option<Response<Bytes>>,
    /// The connection.
    pub backend: Option<Backend>,
}

impl Report {
    const fn failed(ended: Ended) -> Self {
        Self {
            ended,
            answer: None,
            backend: None,
        }
    }
}

/// Runs an attempt until its answer or the caller's deadline.
pub async fn run(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
    idle: Option<Backend>,
) -> Report {
    let Ok(request) = request(payload, grant, team) else {
        return Report::failed(Ended::NotRun { healthy: true });
    };
    let opened = match idle {
        Some(backend) => Ok(backend),
        None => match compio::time::timeout_at(payload.deadline, Backend::open(grant.addr)).await {
            Ok(opened) => opened,
            Err(_) => return Report::failed(Ended::NotRun { healthy: false }),
        },
    };
    let mut backend = match opened {
        Ok(backend) => backend,
        Err(_) => return Report::failed(Ended::NotRun { healthy: false }),
    };
    match compio::time::timeout_at(payload.deadline, backend.exchange(request)).await {
        Ok(Ok(answer)) => judge(answer, backend),
        Ok(Err(BackendError::Unsent)) => Report::failed(Ended::NotRun { healthy: true }),
        Ok(Err(_)) | Err(_) => Report::failed(Ended::Unknown),
    }
}

fn judge(answer: Response<Bytes>, backend: Backend) -> Report {
    let refused = answer.headers().contains_key(headers::NOT_RUN);
    let ended = if refused {
        Ended::NotRun { healthy: true }
    } else {
        Ended::Answered {
            healthy: !answer.status().is_server_error(),
        }
    };
    Report {
        ended,
        answer: (!refused).then_some(answer),
        backend: Some(backend),
    }
}

fn request(
    payload: &Payload,
    grant: &Grant,
    team: &TeamName,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::post(RUN_PATH)
        .header(hyper::header::HOST, grant.addr.to_string())
        .header(headers::ATTEMPT_ID, grant.attempt.to_string())
        .header(headers::TEAM, team.as_str())
        .header(headers::LEASE_MS, LEASE_MS)
        .body(Full::new(payload.body.clone()))?;
    request.headers_mut().extend(payload.headers.clone());
    Ok(request)
}
