//! Talks to the fleet processes.

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
use crate::wire::ExecutionStatus;

const ROUNDS: usize = 3;
const ROUND_PAUSE: Duration = Duration::from_millis(500);
const PROBE_WAIT: Duration = Duration::from_secs(2);
const ANSWER_WAIT: Duration = Duration::from_secs(15);

/// Talks to the fleet processes, in order, until one answers.
pub struct FleetClient {
    addrs: Vec<String>,
    key: String,
    http: Client,
}

/// What one attempt came to.
enum Attempt<T> {
    Answer(T),
    Refused(StatusCode, ErrorBody),
    Unreached(String),
    Lost(String),
}

#[derive(Deserialize)]
struct Envelope {
    error: ErrorBody,
}

impl FleetClient {
    /// A client for the processes at `addrs`, with an operator's key.
    ///
    /// # Errors
    /// `CtlError::Usage` if `addrs` is empty or HTTP can't be set up.
    pub fn new(addrs: Vec<String>, key: String) -> Result<Self, CtlError> {
        if addrs.is_empty() {
            return Err(CtlError::usage("--fleet is missing"));
        }
        let http = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .build()
            .map_err(CtlError::usage)?;
        Ok(Self { addrs, key, http })
    }

    /// The state of the first process that answers.
    ///
    /// # Errors
    /// `CtlError::NotAppended` if none answers, or `CtlError::Usage` if the key is refused.
    pub async fn view(&self) -> Result<StateView, CtlError> {
        self.get("/v1/state").await
    }

    /// The time line over all processes that the first process that answers can reach, from the
    /// Unix time `since` in milliseconds on.
    ///
    /// # Errors
    /// As [`Self::view`].
    pub async fn timeline(&self, since: u64) -> Result<Timeline, CtlError> {
        self.get(&format!("/v1/events?since={since}")).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let mut problem = String::new();
        for addr in &self.addrs {
            match self.attempt(addr, Method::GET, path, Vec::new()).await {
                Attempt::Answer(answer) => return Ok(answer),
                Attempt::Refused(StatusCode::UNAUTHORIZED, error) => {
                    return Err(CtlError::usage(error.message));
                }
                Attempt::Refused(_, error) => problem = format!("{addr}: {}", error.message),
                Attempt::Unreached(cause) | Attempt::Lost(cause) => {
                    problem = format!("{addr}: {cause}");
                }
            }
        }
        Err(CtlError::NotAppended(problem))
    }

    /// Whether each process says that it is ready, by address.
    pub async fn readiness(&self) -> Vec<(String, &'static str)> {
        let mut all = Vec::new();
        for addr in &self.addrs {
            let state = match self.probe(addr, "/readyz").await {
                Ok((StatusCode::OK, _)) => "ready",
                Ok(_) => "not ready",
                Err(_) => "unreachable",
            };
            all.push((addr.clone(), state));
        }
        all
    }

    /// Submits a change, and repeats it with the same id until its outcome is known.
    ///
    /// # Errors
    /// A [`CtlError`] that says whether the change may stand in the log.
    pub async fn submit(&self, submission: &Submission) -> Result<Accepted, CtlError> {
        let body = serde_json::to_vec(submission).map_err(CtlError::usage)?;
        let mut doubt = None;
        let mut problem = String::new();
        for round in 0..ROUNDS {
            if round > 0 {
                compio::time::sleep(ROUND_PAUSE).await;
            }
            for addr in &self.addrs {
                let posted = self
                    .attempt(addr, Method::POST, "/v1/changes", body.clone())
                    .await;
                match posted {
                    Attempt::Answer(accepted) => return Ok(accepted),
                    Attempt::Refused(status, error) => match settle(status, &error, &doubt) {
                        Some(outcome) => return Err(outcome),
                        None if error.execution == ExecutionStatus::NotRun => {
                            problem = error.message
                        }
                        None => doubt = Some(error.message),
                    },
                    Attempt::Unreached(cause) => problem = format!("{addr}: {cause}"),
                    Attempt::Lost(cause) => doubt = Some(format!("{addr}: {cause}")),
                }
            }
        }
        Err(doubt.map_or(CtlError::NotAppended(problem), CtlError::Unknown))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        addr: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Attempt<T> {
        // A silent process is passed over before it is sent anything that could be in doubt.
        if let Err(error) = self.probe(addr, "/healthz").await {
            return Attempt::Unreached(format!("can't be reached: {error}"));
        }
        let deadline = Instant::now() + ANSWER_WAIT;
        let (status, body) = match self.fetch(addr, method, path, body, deadline).await {
            Ok(answer) => answer,
            Err(cyper::Error::HyperClient(error)) if error.is_connect() => {
                return Attempt::Unreached(format!("can't be reached: {error}"));
            }
            Err(error) => return Attempt::Lost(format!("no answer: {error}")),
        };
        if status != StatusCode::OK {
            return match serde_json::from_slice::<Envelope>(&body) {
                Ok(envelope) => Attempt::Refused(status, envelope.error),
                Err(_) => Attempt::Lost(format!("answers {status}")),
            };
        }
        match serde_json::from_slice(&body) {
            Ok(value) => Attempt::Answer(value),
            Err(error) => Attempt::Lost(format!("answers something else: {error}")),
        }
    }

    async fn probe(&self, addr: &str, path: &str) -> cyper::Result<(StatusCode, Vec<u8>)> {
        let deadline = Instant::now() + PROBE_WAIT;
        self.fetch(addr, Method::GET, path, Vec::new(), deadline)
            .await
    }

    async fn fetch(
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
        let answer = async {
            let response = request.send().await?;
            let status = response.status();
            Ok((status, response.bytes().await?.to_vec()))
        };
        let timeout = Err(cyper::Error::Timeout);
        compio::time::timeout_at(deadline, answer)
            .await
            .unwrap_or(timeout)
    }
}

/// The outcome that a refusal settles; none if another attempt may tell more.
fn settle(status: StatusCode, error: &ErrorBody, doubt: &Option<String>) -> Option<CtlError> {
    let message = error.message.clone();
    match status {
        StatusCode::CONFLICT => Some(CtlError::Rejected(message)),
        _ if !status.is_client_error() => None,
        // The refusal is about this attempt only, and an earlier one may stand in the log.
        _ if doubt.is_some() => Some(CtlError::Unknown(message)),
        StatusCode::UNAUTHORIZED => Some(CtlError::usage(message)),
        _ => Some(CtlError::Rejected(message)),
    }
}
