//! Where gates ask the owner: in this process or another one.

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
use crate::http::ClientError;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::read_body;
use crate::http::text_reply;

/// Path of the question to an owner.
const PATH: &str = "/v1/ask";
/// Largest question, in bytes.
const ASK_LIMIT: usize = 512 << 10;
/// Longest that one attempt to ask may take, in milliseconds.
const ATTEMPT_MS: u64 = 400;
/// Longest that all attempts may take, in milliseconds.
const TOTAL_MS: u64 = 1_500;
/// Time between two attempts, in milliseconds.
const RETRY_MS: u64 = 100;
/// Longest that an owner may take to append, in milliseconds.
const STORE_MS: u64 = 1_200;
/// How long an owner that gave no answer is not asked to append, in milliseconds.
const DOUBT_MS: u64 = 1_500;

/// What an owner made of records to append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stored {
    /// They are in the log.
    Yes,
    /// They are not and won't be, as the log takes nothing now.
    No,
    /// They may be, or may yet come there.
    Unknown,
    /// No owner was told of them, or one that is no owner any more and did nothing.
    Untold,
}

/// Asks the owner wherever it is.
pub struct OwnerClient<P> {
    platform: Rc<P>,
    election: Rc<Election<P>>,
    client: Client,
    owner: Cell<Option<SocketAddr>>,
    doubted: Cell<Option<(SocketAddr, Instant)>>,
    log: Logger,
}

impl<P: Platform> OwnerClient<P> {
    /// A desk of a process that takes part in `election`.
    #[must_use]
    pub fn new(platform: Rc<P>, election: Rc<Election<P>>, log: Logger) -> Self {
        Self {
            platform,
            election,
            client: Client::new(),
            owner: Cell::new(None),
            doubted: Cell::new(None),
            log,
        }
    }

    /// Asks the owner; `None` if it can't be reached in time.
    pub async fn ask(&self, ask: &OwnerRequest, deadline: Instant) -> Option<OwnerResponse> {
        let latest = Instant::now() + Duration::from_millis(TOTAL_MS);
        let deadline = deadline.min(latest);
        while Instant::now() < deadline {
            if let Some(answer) = self.ask_once(ask, deadline).await
                && answer != OwnerResponse::Unknown
            {
                return Some(answer);
            }
            compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        None
    }

    /// Has the owner append what `ask` says.
    pub async fn store(&self, ask: &OwnerRequest, deadline: Instant) -> Stored {
        let latest = Instant::now() + Duration::from_millis(STORE_MS);
        let deadline = deadline.min(latest);
        if let Some(answer) = self.election.ask(ask.clone()) {
            let answer = compio::time::timeout_at(deadline, answer).await;
            // An owner whose term ends may leave an append on its way.
            let answer = answer.ok().and_then(Result::ok);
            return answer.map_or(Stored::Unknown, stored);
        }
        let found = match self.owner.get() {
            Some(owner) => Some(owner),
            None => compio::time::timeout_at(deadline, self.find())
                .await
                .ok()
                .flatten(),
        };
        let Some(owner) = found.filter(|owner| !self.is_doubted(*owner)) else {
            return Stored::Untold;
        };
        match self.exchange(owner, ask, deadline).await {
            Ok(Some(answer)) => {
                let stored = stored(answer);
                if stored == Stored::Untold {
                    self.owner.set(None);
                }
                stored
            }
            Ok(None) => {
                self.owner.set(None);
                Stored::Untold
            }
            Err(err) => {
                info!(self.log, "owner did not answer"; "addr" => %owner, "why" => %err);
                self.owner.set(None);
                let until = Instant::now() + Duration::from_millis(DOUBT_MS);
                self.doubted.set(Some((owner, until)));
                match err {
                    ClientError::Unsent(_) => Stored::Untold,
                    ClientError::Silent(_) => Stored::Unknown,
                }
            }
        }
    }

    fn is_doubted(&self, owner: SocketAddr) -> bool {
        let doubted = self.doubted.get();
        doubted.is_some_and(|(addr, until)| addr == owner && Instant::now() < until)
    }

    async fn ask_once(&self, ask: &OwnerRequest, deadline: Instant) -> Option<OwnerResponse> {
        if let Some(answer) = self.election.ask(ask.clone()) {
            let attempt = Instant::now() + Duration::from_millis(ATTEMPT_MS);
            let answer = compio::time::timeout_at(deadline.min(attempt), answer).await;
            return answer.ok()?.ok();
        }
        let owner = match self.owner.get() {
            Some(owner) => owner,
            None => self.find().await?,
        };
        let answer = self.ask_at(owner, ask, deadline).await;
        if answer.is_none() {
            self.owner.set(None);
        }
        answer
    }

    async fn find(&self) -> Option<SocketAddr> {
        let owner = self.platform.owner().await.ok()??;
        info!(self.log, "owner found"; "addr" => %owner);
        self.owner.set(Some(owner));
        Some(owner)
    }

    async fn ask_at(
        &self,
        owner: SocketAddr,
        ask: &OwnerRequest,
        deadline: Instant,
    ) -> Option<OwnerResponse> {
        let attempt = Instant::now() + Duration::from_millis(ATTEMPT_MS);
        let answer = self.exchange(owner, ask, deadline.min(attempt)).await;
        answer.ok().flatten()
    }

    /// Asks a process; `None` if it isn't the owner, and so has done nothing.
    async fn exchange(
        &self,
        owner: SocketAddr,
        ask: &OwnerRequest,
        deadline: Instant,
    ) -> Result<Option<OwnerResponse>, ClientError> {
        let unsent = |err: &dyn std::error::Error| ClientError::Unsent(err.to_string());
        let body = postcard::to_allocvec(ask).map_err(|err| unsent(&err))?;
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

    /// Answers other processes' questions, if the owner is here.
    pub fn handler(self: &Rc<Self>) -> Handler {
        let owner_client = self.clone();
        Rc::new(move |request| {
            let owner_client = owner_client.clone();
            async move { owner_client.serve(request).await }.boxed_local()
        })
    }

    async fn serve(&self, request: Request<hyper::body::Incoming>) -> Reply {
        let Ok(body) = read_body(request.into_body(), ASK_LIMIT).await else {
            return text_reply(StatusCode::BAD_REQUEST, "the question can't be read\n");
        };
        let Ok(ask) = postcard::from_bytes::<OwnerRequest>(&body) else {
            return text_reply(StatusCode::BAD_REQUEST, "not a question\n");
        };
        let Some(answer) = self.election.ask(ask) else {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "not the owner\n");
        };
        // An owner whose term ends may leave an append on its way.
        let answer = answer.await.unwrap_or(OwnerResponse::Unknown);
        match postcard::to_allocvec(&answer) {
            Ok(body) => Reply::new(Full::new(Bytes::from(body))),
            Err(err) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}

const fn stored(answer: OwnerResponse) -> Stored {
    match answer {
        OwnerResponse::Stored => Stored::Yes,
        OwnerResponse::Busy => Stored::No,
        OwnerResponse::Superseded => Stored::Untold,
        _ => Stored::Unknown,
    }
}
