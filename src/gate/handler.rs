//! Serves one caller's request from its first byte to its answer.

use std::time::Instant;

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;

use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::Submission;
use crate::gate::attempt;
use crate::gate::attempt::Payload;
use crate::gate::headers;
use crate::gate::headers::CallerHeaders;
use crate::gate::step::Input;
use crate::gate::step::Step;
use crate::http::Fault;
use crate::http::read_body;
use crate::name::ServiceName;
use crate::wire::RefusalCode;
use crate::wire::RequestId;

/// Tells the gate's task when the caller goes away before its answer.
struct Caller {
    request: RequestId,
    inputs: UnboundedSender<Input>,
    answered: bool,
}

impl Drop for Caller {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.inputs.unbounded_send(Input::Gone(self.request));
        }
    }
}

/// Serves `POST /v1/services/{service}/requests`.
pub async fn serve(
    request: Request<Incoming>,
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
    let Ok(body) = read_body(body, body_limit).await else {
        return fail(Failure::not_run(FailureCode::BodyTooLarge), Some(&id));
    };
    let payload = Payload {
        headers: passed_on(parts.headers, &id),
        body,
        deadline: caller.deadline,
    };
    let submission = Submission {
        request,
        service,
        key: caller.key,
        urgent: caller.urgent,
        idempotent: caller.idempotent,
        deadline: caller.deadline,
    };
    let (sender, steps) = unbounded();
    let mut guard = Caller {
        request,
        inputs,
        answered: false,
    };
    if guard
        .inputs
        .unbounded_send(Input::Submit(submission, sender))
        .is_err()
    {
        return fail(unavailable(), Some(&id));
    }
    let answer = follow(&guard, steps, &payload).await;
    guard.answered = true;
    match answer {
        Ok(answer) => pass_back(answer, &id),
        Err(failure) => fail(failure, Some(&id)),
    }
}

/// Carries out the steps that the gate's task decides, up to the answer.
async fn follow(
    guard: &Caller,
    mut steps: UnboundedReceiver<Step>,
    payload: &Payload,
) -> Result<Response<Bytes>, Failure> {
    while let Some(step) = steps.next().await {
        let (grant, team, backend) = match step {
            Step::Fail(failure) => return Err(failure),
            Step::Run {
                grant,
                team,
                backend,
            } => (grant, team, backend),
        };
        let report = attempt::run(payload, &grant, &team, backend).await;
        let _ = guard.inputs.unbounded_send(Input::Ended {
            attempt: grant.attempt,
            ended: report.ended,
            backend: report.backend,
        });
        if let Some(answer) = report.answer {
            return Ok(answer);
        }
    }
    Err(unavailable())
}

const fn unavailable() -> Failure {
    Failure::refused(RefusalCode::Unavailable, 1_000)
}

fn passed_on(mut headers: HeaderMap, id: &str) -> HeaderMap {
    for name in headers::HOP_HEADERS {
        headers.remove(name);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(headers::REQUEST_ID, value);
    }
    headers
}

fn pass_back(answer: Response<Bytes>, id: &str) -> Response<Full<Bytes>> {
    let (mut parts, body) = answer.into_parts();
    for name in headers::HOP_HEADERS {
        parts.headers.remove(name);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        parts.headers.insert(headers::REQUEST_ID, value);
    }
    Response::from_parts(parts, Full::new(body))
}

/// The JSON answer for a failure.
pub fn fail(failure: Failure, id: Option<&str>) -> Response<Full<Bytes>> {
    let mut response = Fault::from(failure).into_reply();
    if let Some(value) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}
