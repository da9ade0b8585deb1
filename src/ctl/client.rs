//! HTTP client for the API of the fleet processes.

use std::time::Duration;
use std::time::Instant;

use cyper::Client;
use cyper::redirect::Policy;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::ctl::CtlError;
use crate::fleet::Accepted;
use crate::fleet::StateView;
use crate::fleet::Submission;
use crate::http::ErrorBody;
use crate::observe::Timeline;
use crate::wire::Verdict;

/// Rounds of [`FleetClient::submit`] over all processes.
const MAX_ROUNDS: usize = 3;
const ROUND_PAUSE: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP client that tries the fleet processes in order until one answers.
pub struct FleetClient {
    addrs: Vec<String>,
    key: String,
    http: Client,
}

/// Result of one request to one process.
enum Attempt<T> {
    Response(T),
    Refused(StatusCode, ErrorBody),
    /// The request was not sent.
    Unreachable(String),
    /// The request may have been processed, but no valid response arrived.
    Ambiguous(String),
}

#[derive(Deserialize)]
struct ErrorEnvelope {
    error: ErrorBody,
}

impl FleetClient {
    /// Creates a client for the processes at `addrs` that authenticates with an operator's key.
    ///
    /// # Errors
    /// `CtlError::Usage` if `addrs` is empty or the HTTP client cannot be built.
    pub fn new(addrs: Vec<String>, key: String) -> Result<Self, CtlError> {
        if addrs.is_empty() {
            return Err(CtlError::usage("missing option: --fleet"));
        }
        let http = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .build()
            .map_err(CtlError::usage)?;
        Ok(Self { addrs, key, http })
    }

    /// State as held by the first process that answers.
    ///
    /// # Errors
    /// `CtlError::NotAppended` if none answers, or `CtlError::Usage` if the key is refused.
    pub async fn view(&self) -> Result<StateView, CtlError> {
        self.get("/v1/state").await
    }

    /// Timeline from `since` (Unix time in milliseconds) on. The first process that answers
    /// gathers it from all processes that it can reach.
    ///
    /// # Errors
    /// As [`Self::view`].
    pub async fn timeline(&self, since: u64) -> Result<Timeline, CtlError> {
        self.get(&format!("/v1/events?since={since}")).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let mut last_error = String::new();
        for addr in &self.addrs {
            match self.attempt(addr, Method::GET, path, Vec::new()).await {
                Attempt::Response(response) => return Ok(response),
                Attempt::Refused(StatusCode::UNAUTHORIZED, error) => {
                    return Err(CtlError::usage(error.message));
                }
                Attempt::Refused(_, error) => last_error = format!("{addr}: {}", error.message),
                Attempt::Unreachable(cause) | Attempt::Ambiguous(cause) => {
                    last_error = format!("{addr}: {cause}");
                }
            }
        }
        Err(CtlError::NotAppended(last_error))
    }

    /// Readiness of each process by address: `ready`, `not ready` or `unreachable`.
    pub async fn readiness(&self) -> Vec<(String, &'static str)> {
        let mut states = Vec::new();
        for addr in &self.addrs {
            let state = match self.probe(addr, "/readyz").await {
                Ok((StatusCode::OK, _)) => "ready",
                Ok(_) => "not ready",
                Err(_) => "unreachable",
            };
            states.push((addr.clone(), state));
        }
        states
    }

    /// Submits a change and retries it with the same id until its outcome is known, for at most
    /// three rounds over all processes.
    ///
    /// # Errors
    /// A [`CtlError`] that tells whether the change may be in the log.
    pub async fn submit(&self, submission: &Submission) -> Result<Accepted, CtlError> {
        let body = serde_json::to_vec(submission).map_err(CtlError::usage)?;
        let mut ambiguous = None;
        let mut last_error = String::new();
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                compio::time::sleep(ROUND_PAUSE).await;
            }
            for addr in &self.addrs {
                let attempt = self
                    .attempt(addr, Method::POST, "/v1/changes", body.clone())
                    .await;
                match attempt {
                    Attempt::Response(accepted) => return Ok(accepted),
                    Attempt::Refused(status, error) => {
                        match final_error(status, &error, &ambiguous) {
                            Some(outcome) => return Err(outcome),
                            None if error.verdict == Verdict::NotRun => last_error = error.message,
                            None => ambiguous = Some(error.message),
                        }
                    }
                    Attempt::Unreachable(cause) => last_error = format!("{addr}: {cause}"),
                    Attempt::Ambiguous(cause) => ambiguous = Some(format!("{addr}: {cause}")),
                }
            }
        }
        Err(ambiguous.map_or(CtlError::NotAppended(last_error), CtlError::Unknown))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        addr: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Attempt<T> {
        // Probe first: an unresponsive process is skipped before it gets a request whose outcome
        // would be unknown.
        if let Err(error) = self.probe(addr, "/healthz").await {
            return Attempt::Unreachable(format!("unreachable: {error}"));
        }
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let (status, body) = match self.send_request(addr, method, path, body, deadline).await {
            Ok(response) => response,
            Err(cyper::Error::HyperClient(error)) if error.is_connect() => {
                return Attempt::Unreachable(format!("unreachable: {error}"));
            }
            Err(error) => return Attempt::Ambiguous(format!("no response: {error}")),
        };
        if status != StatusCode::OK {
            return match serde_json::from_slice::<ErrorEnvelope>(&body) {
                Ok(body) => Attempt::Refused(status, body.error),
                Err(_) => Attempt::Ambiguous(format!("unexpected response status {status}")),
            };
        }
        match serde_json::from_slice(&body) {
            Ok(value) => Attempt::Response(value),
            Err(error) => Attempt::Ambiguous(format!("invalid response body: {error}")),
        }
    }

    async fn probe(&self, addr: &str, path: &str) -> cyper::Result<(StatusCode, Vec<u8>)> {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        self.send_request(addr, Method::GET, path, Vec::new(), deadline)
            .await
    }

    async fn send_request(
        &self,
        addr: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
        deadline: Instant,
    ) -> cyper::Result<(StatusCode, Vec<u8>)> {
        let request = self
            .http
            .request(method, format!("http://{addr}{path}"))?
            .bearer_auth(&self.key)?
            .header("content-type", "application/json")?
            .body(body);
        let response = async {
            let response = request.send().await?;
            let status = response.status();
            Ok((status, response.bytes().await?.to_vec()))
        };
        let timeout = Err(cyper::Error::Timeout);
        compio::time::timeout_at(deadline, response)
            .await
            .unwrap_or(timeout)
    }
}

/// Error that an error response makes final; `None` if another attempt may still decide.
fn final_error(
    status: StatusCode,
    error: &ErrorBody,
    ambiguous: &Option<String>,
) -> Option<CtlError> {
    let message = error.message.clone();
    match status {
        StatusCode::CONFLICT => Some(CtlError::Rejected(message)),
        _ if !status.is_client_error() => None,
        // The response covers this attempt only; an earlier one may have reached the log.
        _ if ambiguous.is_some() => Some(CtlError::Unknown(message)),
        StatusCode::UNAUTHORIZED => Some(CtlError::usage(message)),
        _ => Some(CtlError::Rejected(message)),
    }
}
