//! HTTP API for operators.

use std::rc::Rc;

use futures_util::FutureExt;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;

use crate::fleet::ApiBackend;
use crate::fleet::Submission;
use crate::http::ClientBody;
use crate::http::Handler;
use crate::http::HttpError;
use crate::http::Limits;
use crate::http::Reply;
use crate::http::json_reply;
use crate::http::read_body;
use crate::http::text_reply;
use crate::intake::Budget;
use crate::intake::IntakeLimits;
use crate::intake::Listener;
use crate::observe::HlcTimestamp;
use crate::record::KeyHash;
use crate::wire::Verdict;

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Most connections of operators.
const MAX_CONNECTIONS: usize = 256;

/// HTTP API for operators, served by a fleet process.
pub struct OperatorsApi {
    backend: Rc<dyn ApiBackend>,
    operators: Vec<KeyHash>,
}

impl OperatorsApi {
    /// Limits of its HTTP server in a process with this budget; a body has room for a change with a
    /// whole table file as JSON.
    #[must_use]
    pub fn limits(budget: Budget) -> Limits {
        let intake = budget.listener(Listener::Front);
        Limits {
            header_bytes: 16 * 1024,
            body_bytes: MAX_BODY_BYTES,
            intake: IntakeLimits {
                connections: intake.connections.min(MAX_CONNECTIONS),
                ..intake
            },
        }
    }

    /// Creates the API in front of `backend`; `operators` are the hashes of the operators' keys.
    #[must_use]
    pub fn new(backend: Rc<dyn ApiBackend>, operators: Vec<KeyHash>) -> Self {
        Self { backend, operators }
    }

    /// Turns the API into a handler for an HTTP server.
    #[must_use]
    pub fn into_handler(self) -> Handler {
        let api = Rc::new(self);
        Rc::new(move |request| {
            let api = Rc::clone(&api);
            async move {
                api.answer(request)
                    .await
                    .unwrap_or_else(HttpError::into_reply)
            }
            .boxed_local()
        })
    }

    async fn answer(&self, request: Request<ClientBody>) -> Result<Reply, HttpError> {
        let method = match request.uri().path() {
            "/v1/changes" => Method::POST,
            "/v1/state" | "/v1/events" | "/healthz" | "/readyz" => Method::GET,
            _ => {
                return Err(fault(StatusCode::NOT_FOUND, "no-such-path", "no such path"));
            }
        };
        if *request.method() != method {
            let message = format!("this path takes only {method}");
            return Err(fault(
                StatusCode::METHOD_NOT_ALLOWED,
                "bad-method",
                &message,
            ));
        }
        match request.uri().path() {
            "/healthz" => return Ok(text_reply(StatusCode::OK, "ok\n")),
            "/readyz" => return Ok(self.readiness()),
            _ => self.authorize(&request)?,
        }
        match request.uri().path() {
            "/v1/state" => return Ok(json_reply(StatusCode::OK, &self.backend.view())),
            "/v1/events" => return self.events(request.uri().query()).await,
            _ => {}
        }
        self.change(request.into_body()).await
    }

    async fn change(&self, body: ClientBody) -> Result<Reply, HttpError> {
        let body = read_body(body, MAX_BODY_BYTES).await?;
        let submission: Submission = serde_json::from_slice(&body)
            .map_err(|error| fault(StatusCode::BAD_REQUEST, "bad-change", &error.to_string()))?;
        let accepted = self.backend.submit(submission).await?;
        Ok(json_reply(StatusCode::OK, &accepted))
    }

    async fn events(&self, query: Option<&str>) -> Result<Reply, HttpError> {
        let since = query.map_or(Ok(0), |query| {
            query.strip_prefix("since=").unwrap_or(query).parse()
        });
        let since = since.map_err(|_| {
            let message = "the query is `since=` and a Unix time in milliseconds";
            fault(StatusCode::BAD_REQUEST, "bad-since", message)
        })?;
        let timeline = self.backend.timeline(HlcTimestamp::at(since)).await;
        Ok(json_reply(StatusCode::OK, &timeline))
    }

    fn readiness(&self) -> Reply {
        if self.backend.is_ready() {
            return text_reply(StatusCode::OK, "ready\n");
        }
        text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    fn authorize(&self, request: &Request<ClientBody>) -> Result<(), HttpError> {
        let header = request.headers().get(AUTHORIZATION);
        let key = header.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        let hash = KeyHash::of(key.unwrap_or_default());
        // All hashes are compared, so that the response time doesn't reveal which one matches.
        let is_known = self
            .operators
            .iter()
            .fold(false, |is_known, one| is_known | one.matches(&hash));
        if is_known && key.is_some() {
            return Ok(());
        }
        Err(fault(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "an operator's key is needed",
        ))
    }
}

fn fault(status: StatusCode, code: &'static str, message: &str) -> HttpError {
    HttpError::new(status, code, message, Verdict::NotRun)
}
