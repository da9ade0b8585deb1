//! HTTP client that reuses connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::time::timeout_at;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use quick_error::quick_error;

use crate::http::BackendConnection;
use crate::http::BackendError;
use crate::http::ConcurrencyGuard;
use crate::http::ConcurrencyLimiter;
use crate::http::IdleConnections;
use crate::http::Recipient;
use crate::http::ResponseLimits;

/// Shortest time between two checks for idle connections that have expired, in milliseconds.
const EXPIRY_CHECK_MS: u64 = 1_000;

quick_error! {
    /// Why a request got no response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// Nothing was sent.
        Unsent(reason: String) {
            display("request not sent: {}", reason)
        }
        /// The request may have run or may still run.
        Silent(reason: String) {
            display("no response: {}", reason)
        }
    }
}

/// Sends requests and keeps idle connections for later ones.
#[derive(Default)]
pub struct Client {
    idle: RefCell<IdleConnections>,
    // When idle connections are next checked; `None` before the first check.
    next_check: Cell<Option<Instant>>,
    large_buffers: bool,
    limiter: Option<ConcurrencyLimiter>,
    responses: ResponseLimits,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a client for a server with long responses.
    #[must_use]
    pub fn with_large_buffers() -> Self {
        Self {
            large_buffers: true,
            ..Self::default()
        }
    }

    /// Creates a client that sends at most `limit` requests to one server at a time. Others wait
    /// for a connection instead of opening more.
    #[must_use]
    pub fn with_request_limit(limit: usize) -> Self {
        Self {
            limiter: Some(ConcurrencyLimiter::new(limit)),
            ..Self::default()
        }
    }

    /// Sets how many idle connections are kept in total.
    #[must_use]
    pub fn with_idle_limit(self, limit: usize) -> Self {
        self.idle.borrow_mut().set_limit(limit);
        self
    }

    /// Sets limits of the responses.
    #[must_use]
    pub fn with_response_limits(self, responses: ResponseLimits) -> Self {
        Self { responses, ..self }
    }

    /// Sends a request and reads the complete response before `deadline`.
    ///
    /// # Errors
    /// A [`ClientError`] that tells whether anything was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ClientError> {
        let _guard = self.acquire(addr, deadline).await?;
        let backend = self.connect(addr, deadline).await?;
        self.exchange(backend, request, deadline).await
    }

    /// Sends a request like [`Self::send`], unless the server says that it is another process than the
    /// recipient. A connection is asked once, by the request that `question` returns, and only if its
    /// process isn't certain. If the question is refused, that is the response.
    ///
    /// # Errors
    /// A [`ClientError`] that tells whether the request was sent.
    pub async fn send_to(
        &self,
        addr: SocketAddr,
        recipient: Recipient,
        question: impl FnOnce() -> Result<Request<Full<Bytes>>, ClientError>,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ClientError> {
        let _guard = self.acquire(addr, deadline).await?;
        let mut backend = self.connect(addr, deadline).await?;
        if backend.process.is_none() && !recipient.is_certain(Instant::now()) {
            let asking = timeout_at(deadline, backend.exchange(question()?, &self.responses)).await;
            let Ok(result) = asking else {
                self.idle.borrow_mut().drop_all(addr);
                return Err(ClientError::Unsent("timed out".to_owned()));
            };
            let answer = result.map_err(|err| ClientError::Unsent(err.to_string()))?;
            if !answer.status().is_success() {
                // It refuses the request as well.
                self.idle.borrow_mut().put(Instant::now(), backend);
                return Ok(answer);
            }
            backend.process = (recipient.read)(&answer);
        }
        if backend
            .process
            .is_some_and(|process| process != recipient.process)
        {
            self.idle.borrow_mut().put(Instant::now(), backend);
            return Err(ClientError::Unsent("another process answers".to_owned()));
        }
        self.exchange(backend, request, deadline).await
    }

    async fn exchange(
        &self,
        mut backend: BackendConnection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ClientError> {
        let addr = backend.addr();
        let exchange = backend.exchange(request, &self.responses);
        let Ok(result) = timeout_at(deadline, exchange).await else {
            // The idle connections to this server may have stopped responding as well.
            self.idle.borrow_mut().drop_all(addr);
            return Err(ClientError::Silent("timed out".to_owned()));
        };
        match result {
            Ok(response) => {
                self.idle.borrow_mut().put(Instant::now(), backend);
                Ok(response)
            }
            Err(BackendError::Incomplete(reason)) => Err(ClientError::Silent(reason)),
            Err(err) => Err(ClientError::Unsent(err.to_string())),
        }
    }

    async fn acquire(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<Option<ConcurrencyGuard>, ClientError> {
        let Some(limiter) = &self.limiter else {
            return Ok(None);
        };
        let guard = timeout_at(deadline, limiter.acquire(addr)).await;
        let timed_out = |_| ClientError::Unsent("timed out waiting for other requests".to_owned());
        guard.map(Some).map_err(timed_out)
    }

    /// Drops the idle connections that have expired, from time to time.
    fn expire(&self, now: Instant) {
        if self.next_check.get().is_some_and(|at| now < at) {
            return;
        }
        let pause = Duration::from_millis(EXPIRY_CHECK_MS);
        self.next_check.set(Some(now + pause));
        self.idle.borrow_mut().expire(now);
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<BackendConnection, ClientError> {
        self.expire(Instant::now());
        let kept = self.idle.borrow_mut().take(Instant::now(), addr);
        if let Some(backend) = kept {
            return Ok(backend);
        }
        let opening = async {
            if self.large_buffers {
                return BackendConnection::open_with_large_buffers(addr).await;
            }
            BackendConnection::open(addr).await
        };
        let opened = timeout_at(deadline, opening).await;
        let timed_out = |_| ClientError::Unsent("timed out connecting".to_owned());
        let failed = |err: BackendError| ClientError::Unsent(err.to_string());
        opened.map_err(timed_out)?.map_err(failed)
    }
}
