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

use crate::batch::Answer;
use crate::batch::Ask;
use crate::batch::Platform;
use crate::batch::election::Election;
use crate::http::Client;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::read_body;
use crate::http::text_reply;

/// Path of the question to an owner.
const PATH: &str = "/v1/ask";
/// Largest question, in bytes.
const ASK_LIMIT: usize = 4_096;
/// Longest that one attempt to ask may take, in milliseconds.
const ATTEMPT_MS: u64 = 400;
/// Longest that all attempts may take, in milliseconds.
const TOTAL_MS: u64 = 1_500;
/// Time between two attempts, in milliseconds.
const RETRY_MS: u64 = 100;

/// Asks the owner wherever it is.
pub struct Desk<P> {
    platform: Rc<P>,
    election: Rc<Election<P>>,
    client: Client,
    owner: Cell<Option<SocketAddr>>,
    log: Logger,
}

impl<P: Platform> Desk<P> {
    /// A desk of a process that takes part in `election`.
    #[must_use]
    pub fn new(platform: Rc<P>, election: Rc<Election<P>>, log: Logger) -> Self {
        Self {
            platform,
            election,
            client: Client::new(),
            owner: Cell::new(None),
            log,
        }
    }

    /// Asks the owner; `None` if it can't be reached in time.
    pub async fn ask(&self, ask: &Ask, deadline: Instant) -> Option<Answer> {
        let latest = Instant::now() + Duration::from_millis(TOTAL_MS);
        let deadline = deadline.min(latest);
        while Instant::now() < deadline {
            if let Some(answer) = self.ask_once(ask, deadline).await
                && answer != Answer::Unsure
            {
                return Some(answer);
            }
            compio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        None
    }

    async fn ask_once(&self, ask: &Ask, deadline: Instant) -> Option<Answer> {
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

    async fn ask_at(&self, owner: SocketAddr, ask: &Ask, deadline: Instant) -> Option<Answer> {
        let body = postcard::to_allocvec(ask).ok()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .header("host", owner.to_string())
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let attempt = Instant::now() + Duration::from_millis(ATTEMPT_MS);
        let sent = self.client.send(owner, request, deadline.min(attempt));
        let response = sent.await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        postcard::from_bytes(response.body()).ok()
    }

    /// Answers other processes' questions, if the owner is here.
    pub fn handler(self: &Rc<Self>) -> Handler {
        let desk = self.clone();
        Rc::new(move |request| {
            let desk = desk.clone();
            async move { desk.serve(request).await }.boxed_local()
        })
    }

    async fn serve(&self, request: Request<hyper::body::Incoming>) -> Reply {
        let Ok(body) = read_body(request.into_body(), ASK_LIMIT).await else {
            return text_reply(StatusCode::BAD_REQUEST, "the question can't be read\n");
        };
        let Ok(ask) = postcard::from_bytes::<Ask>(&body) else {
            return text_reply(StatusCode::BAD_REQUEST, "not a question\n");
        };
        let Some(answer) = self.election.ask(ask) else {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "not the owner\n");
        };
        let Ok(answer) = answer.await else {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "not the owner any more\n");
        };
        match postcard::to_allocvec(&answer) {
            Ok(body) => Reply::new(Full::new(Bytes::from(body))),
            Err(err) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}
