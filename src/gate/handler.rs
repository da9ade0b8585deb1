//! Handling of one HTTP request of a caller.

use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use futures_util::future::Either;
use futures_util::future::select;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::header::HeaderValue;

use crate::gate::AttemptOutcome;
use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::Submission;
use crate::gate::attempt;
use crate::gate::attempt::Payload;
use crate::gate::headers;
use crate::gate::headers::CallerHeaders;
use crate::gate::step::Input;
use crate::gate::step::Step;
use crate::http::BodyError;
use crate::http::ClientBody;
use crate::http::HttpError;
use crate::http::read_body;
use crate::name::ServiceName;
use crate::wire::RefusalCode;
use crate::wire::RequestId;
use crate::wire::Verdict;

/// Notifies the gate task if the handler is dropped before the response is complete, which means
/// that the caller disconnected.
struct DisconnectGuard {
    request: RequestId,
    inputs: UnboundedSender<Input>,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.inputs.unbounded_send(Input::CallerGone(self.request));
        }
    }
}

/// Serves `POST /v1/services/{service}/requests`.
pub async fn serve(
    request: Request<ClientBody>,
    service: ServiceName,
    body_limit: usize,
    inputs: UnboundedSender<Input>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let caller = match CallerHeaders::parse(&parts.headers, Instant::now()) {
        Ok(caller) => caller,
        Err(code) => return fail(Failure::not_run(code), None),
    };
    let request = RequestId(uuid::Uuid::new_v4().as_u128());
    let id = caller.id.clone().unwrap_or_else(|| request.to_string());
    let body = match read_body(body, body_limit).await {
        Ok(body) => body,
        Err(BodyError::TooLarge(_)) => {
            return fail(Failure::not_run(FailureCode::BodyTooLarge), Some(&id));
        }
        Err(BodyError::Busy) => return fail(stopped(Verdict::NotRun), Some(&id)),
        Err(_) => return fail(Failure::not_run(FailureCode::BadBody), Some(&id)),
    };
    let payload = Payload {
        headers: forwarded_headers(parts.headers, &id),
        body,
        deadline: caller.deadline,
    };
    let submission = Submission {
        request,
        external_id: caller.id.as_deref().map(Arc::from),
        service,
        key: caller.key,
        urgent: caller.urgent,
        idempotent: caller.idempotent,
        deadline: caller.deadline,
    };
    let (sender, steps) = unbounded();
    let mut guard = DisconnectGuard {
        request,
        inputs,
        answered: false,
    };
    if guard
        .inputs
        .unbounded_send(Input::Submit(submission, sender))
        .is_err()
    {
        return fail(stopped(Verdict::NotRun), Some(&id));
    }
    let response = run_steps(&guard, steps, &payload).await;
    guard.answered = true;
    match response {
        Ok(response) => to_caller(response, &id),
        Err(failure) => fail(failure, Some(&id)),
    }
}

/// Executes the steps that the gate task decides on, until there is a response.
async fn run_steps(
    guard: &DisconnectGuard,
    mut steps: UnboundedReceiver<Step>,
    payload: &Payload,
) -> Result<Response<Bytes>, Failure> {
    let mut held = None;
    let mut verdict = Verdict::NotRun;
    while let Some(step) = steps.next().await {
        let (grant, team, backend) = match step {
            Step::Fail(failure) => return Err(failure),
            Step::Relay => return held.ok_or_else(|| stopped(verdict)),
            Step::AbortExchange => continue,
            Step::Run {
                grant,
                team,
                backend,
            } => (grant, team, backend),
        };
        verdict = Verdict::Unknown;
        let attempt = pin!(attempt::run(payload, &grant, &team, backend));
        let report = match select(attempt, steps.next()).await {
            Either::Left((report, _)) => report,
            Either::Right((Some(Step::Fail(failure)), _)) => return Err(failure),
            Either::Right((Some(Step::Relay), _)) => return held.ok_or_else(|| stopped(verdict)),
            Either::Right((Some(Step::AbortExchange | Step::Run { .. }), _)) => continue,
            Either::Right((None, _)) => break,
        };
        let _ = guard.inputs.unbounded_send(Input::AttemptEnded {
            attempt: grant.attempt,
            outcome: report.outcome,
            addr: grant.addr,
            backend: report.backend,
        });
        match report.response {
            Some(response) if report.outcome == AttemptOutcome::Answered => return Ok(response),
            Some(response) => held = Some(response),
            None => {}
        }
    }
    Err(stopped(verdict))
}

/// The failure to return if the gate task has stopped, or too much is being received.
const fn stopped(verdict: Verdict) -> Failure {
    Failure {
        code: FailureCode::Refused(RefusalCode::Unavailable),
        verdict,
        retry_after: Some(1_000),
    }
}

fn forwarded_headers(mut headers: HeaderMap, id: &str) -> HeaderMap {
    headers::strip(&mut headers);
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(headers::REQUEST_ID, value);
    }
    headers
}

fn to_caller(response: Response<Bytes>, id: &str) -> Response<Full<Bytes>> {
    let (mut parts, body) = response.into_parts();
    headers::strip(&mut parts.headers);
    if let Ok(value) = HeaderValue::from_str(id) {
        parts.headers.insert(headers::REQUEST_ID, value);
    }
    Response::from_parts(parts, Full::new(body))
}

/// Builds the JSON error response for a failure; `id` is sent back as `x-request-id`.
pub fn fail(failure: Failure, id: Option<&str>) -> Response<Full<Bytes>> {
    let mut response = HttpError::from(failure).into_reply();
    if let Some(value) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}
