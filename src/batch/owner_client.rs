//! Client of the owner, which may run in this process or another one, and the server side of it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use slog::Logger;
use slog::info;

use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Platform;
use crate::batch::election::Election;
use crate::http::Client;
use crate::http::ClientBody;
use crate::http::ClientError;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::read_body;
use crate::http::text_reply;

/// Path of requests to an owner.
const PATH: &str = "/v1/ask";
/// Maximum size of a request, in bytes.
const REQUEST_LIMIT: usize = 512 << 10;
/// Timeout of one attempt to ask, in milliseconds.
const ATTEMPT_MS: u64 = 400;
/// Timeout of all attempts to ask together, in milliseconds.
const TOTAL_MS: u64 = 1_500;
/// Time between two attempts, in milliseconds.
const RETRY_MS: u64 = 100;
/// Timeout of a request to append, in milliseconds.
const STORE_MS: u64 = 1_200;
/// Time for which an owner that did not answer is not asked to append, in milliseconds.
const BYPASS_MS: u64 = 1_500;

/// Outcome of asking the owner to append records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are in the log.
    Appended,
    /// The records are not in the log and won't be, usually because the log accepts no appends.
    NotAppended,
    /// The records may be in the log, or may yet be appended.
    Unknown,
    /// No owner received the records, or only a former owner that did not append them.
    NoOwner,
}

/// Sends requests to the owner, in this process or another one.
pub struct OwnerClient<P> {
    platform: Rc<P>,
    election: Rc<Election<P>>,
    client: Client,
    owner: Cell<Option<SocketAddr>>,
    bypassed: Cell<Option<(SocketAddr, Instant)>>,
    log: Logger,
}

impl<P: Platform> OwnerClient<P> {
    /// A client for a process that takes part in `election`.
    #[must_use]
    pub fn new(platform: Rc<P>, election: Rc<Election<P>>, log: Logger) -> Self {
        Self {
            platform,
            election,
            client: Client::new(),
            owner: Cell::new(None),
            bypassed: Cell::new(None),
            log,
        }
    }

    /// Sends a request that may be repeated, with retries; `None` without a response in time.
    pub async fn ask(&self, request: &OwnerRequest, deadline: Instant) -> Option<OwnerResponse> {
        let latest = Instant::now() + Duration::from_millis(TOTAL_MS);
        let deadline = deadline.min(latest);
        while Instant::now() < deadline {
            if let Some(answer) = self.ask_once(request, deadline).await
                && answer != OwnerResponse::Unknown
            {
                return Some(answer);
            }
            compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        None
    }

    /// Sends a request to append, once.
    pub async fn store(&self, request: &OwnerRequest, deadline: Instant) -> AppendOutcome {
        let latest = Instant::now() + Duration::from_millis(STORE_MS);
        let deadline = deadline.min(latest);
        if let Some(answer) = self.election.ask(request.clone()) {
            let answer = compio::time::timeout_at(deadline, answer).await;
            // A term that ends may leave an append in flight.
            let answer = answer.ok().and_then(Result::ok);
            return answer.map_or(AppendOutcome::Unknown, outcome);
        }
        let found = match self.owner.get() {
            Some(owner) => Some(owner),
            None => compio::time::timeout_at(deadline, self.find_owner())
                .await
                .ok()
                .flatten(),
        };
        let Some(owner) = found.filter(|owner| !self.is_bypassed(*owner)) else {
            return AppendOutcome::NoOwner;
        };
        match self.exchange(owner, request, deadline).await {
            Ok(Some(answer)) => {
                let outcome = outcome(answer);
                if outcome == AppendOutcome::NoOwner {
                    self.owner.set(None);
                }
                outcome
            }
            Ok(None) => {
                self.owner.set(None);
                AppendOutcome::NoOwner
            }
            Err(err) => {
                info!(self.log, "owner not reached or silent; bypassing it for now";
                    "addr" => %owner, "why" => %err);
                self.owner.set(None);
                let until = Instant::now() + Duration::from_millis(BYPASS_MS);
                self.bypassed.set(Some((owner, until)));
                match err {
                    ClientError::Unsent(_) => AppendOutcome::NoOwner,
                    ClientError::Silent(_) => AppendOutcome::Unknown,
                }
            }
        }
    }

    fn is_bypassed(&self, owner: SocketAddr) -> bool {
        let bypassed = self.bypassed.get();
        bypassed.is_some_and(|(addr, until)| addr == owner && Instant::now() < until)
    }

    async fn ask_once(&self, request: &OwnerRequest, deadline: Instant) -> Option<OwnerResponse> {
        if let Some(answer) = self.election.ask(request.clone()) {
            let attempt = Instant::now() + Duration::from_millis(ATTEMPT_MS);
            let answer = compio::time::timeout_at(deadline.min(attempt), answer).await;
            return answer.ok()?.ok();
        }
        let owner = match self.owner.get() {
            Some(owner) => owner,
            None => self.find_owner().await?,
        };
        let answer = self.ask_at(owner, request, deadline).await;
        if answer.is_none() {
            self.owner.set(None);
        }
        answer
    }

    async fn find_owner(&self) -> Option<SocketAddr> {
        let owner = self.platform.owner().await.ok()??;
        info!(self.log, "owner found"; "addr" => %owner);
        self.owner.set(Some(owner));
        Some(owner)
    }

    async fn ask_at(
        &self,
        owner: SocketAddr,
        request: &OwnerRequest,
        deadline: Instant,
    ) -> Option<OwnerResponse> {
        let attempt = Instant::now() + Duration::from_millis(ATTEMPT_MS);
        let answer = self.exchange(owner, request, deadline.min(attempt)).await;
        answer.ok().flatten()
    }

    /// Sends a request to a process; `None` if it is not the owner, in which case it did nothing.
    async fn exchange(
        &self,
        owner: SocketAddr,
        owner_request: &OwnerRequest,
        deadline: Instant,
    ) -> Result<Option<OwnerResponse>, ClientError> {
        let unsent = |err: &dyn std::error::Error| ClientError::Unsent(err.to_string());
        let body = postcard::to_allocvec(owner_request).map_err(|err| unsent(&err))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .header("host", owner.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| unsent(&err))?;
        let response = self.client.send(owner, request, deadline).await?;
        if response.status() != StatusCode::OK {
            return Ok(None);
        }
        let answer = postcard::from_bytes(response.body());
        answer
            .map(Some)
            .map_err(|err| ClientError::Silent(err.to_string()))
    }

    /// HTTP handler for requests of other processes; answers them if the owner runs in this one.
    pub fn handler(self: &Rc<Self>) -> Handler {
        let owner_client = self.clone();
        Rc::new(move |request| {
            let owner_client = owner_client.clone();
            async move { owner_client.serve(request).await }.boxed_local()
        })
    }

    async fn serve(&self, request: Request<ClientBody>) -> Reply {
        let Ok(body) = read_body(request.into_body(), REQUEST_LIMIT).await else {
            return text_reply(StatusCode::BAD_REQUEST, "the question can't be read\n");
        };
        let Ok(owner_request) = postcard::from_bytes::<OwnerRequest>(&body) else {
            return text_reply(StatusCode::BAD_REQUEST, "not a question\n");
        };
        let Some(answer) = self.election.ask(owner_request) else {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "not the owner\n");
        };
        // A term that ends may leave an append in flight.
        let answer = answer.await.unwrap_or(OwnerResponse::Unknown);
        match postcard::to_allocvec(&answer) {
            Ok(body) => Reply::new(Full::new(Bytes::from(body))),
            Err(err) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}

const fn outcome(response: OwnerResponse) -> AppendOutcome {
    match response {
        OwnerResponse::Stored => AppendOutcome::Appended,
        OwnerResponse::NotAppended => AppendOutcome::NotAppended,
        OwnerResponse::Superseded => AppendOutcome::NoOwner,
        _ => AppendOutcome::Unknown,
    }
}
