//! Requests over kept connections.

use std::cell::RefCell;
use std::net::SocketAddr;
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

quick_error! {
    /// Why a request has no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// Nothing was sent.
        Unsent(why: String) {
            display("not sent: {}", why)
        }
        /// It may have been carried out, or may yet be.
        Silent(why: String) {
            display("no answer: {}", why)
        }
    }
}

/// Sends requests, and keeps connections for the next ones.
#[derive(Default)]
pub struct Client {
    idle: RefCell<IdleConnections>,
    wide: bool,
    limiter: Option<ConcurrencyLimiter>,
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A client of a server with long answers.
    #[must_use]
    pub fn with_large_buffers() -> Self {
        Self {
            wide: true,
            ..Self::default()
        }
    }

    /// A client that sends at most so many requests to one server at a time; others wait for a
    /// connection instead of opening further ones.
    #[must_use]
    pub fn with_request_limit(most: usize) -> Self {
        Self {
            limiter: Some(ConcurrencyLimiter::new(most)),
            ..Self::default()
        }
    }

    /// Sends a request and reads the whole answer, by `deadline`.
    ///
    /// # Errors
    /// A [`ClientError`] that tells whether anything was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ClientError> {
        let _turn = self.turn(addr, deadline).await?;
        let mut backend = self.connect(addr, deadline).await?;
        let exchange = backend.exchange(request);
        let Ok(result) = timeout_at(deadline, exchange).await else {
            // Others of the kept connections may have gone silent with this one.
            self.idle.borrow_mut().drop_all(addr);
            return Err(ClientError::Silent("no answer in time".to_owned()));
        };
        match result {
            Ok(response) => {
                self.idle.borrow_mut().put(Instant::now(), backend);
                Ok(response)
            }
            Err(BackendError::Broken(why)) => Err(ClientError::Silent(why)),
            Err(err) => Err(ClientError::Unsent(err.to_string())),
        }
    }

    async fn turn(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<Option<ConcurrencyGuard>, ClientError> {
        let Some(limiter) = &self.limiter else {
            return Ok(None);
        };
        let turn = timeout_at(deadline, limiter.acquire(addr)).await;
        let late = |_| ClientError::Unsent("no turn in time".to_owned());
        turn.map(Some).map_err(late)
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<BackendConnection, ClientError> {
        let kept = self.idle.borrow_mut().take(Instant::now(), addr);
        if let Some(backend) = kept {
            return Ok(backend);
        }
        let opening = async {
            if self.wide {
                return BackendConnection::open_with_large_buffers(addr).await;
            }
            BackendConnection::open(addr).await
        };
        let opened = timeout_at(deadline, opening).await;
        let late = |_| ClientError::Unsent("no connection in time".to_owned());
        let failed = |err: BackendError| ClientError::Unsent(err.to_string());
        opened.map_err(late)?.map_err(failed)
    }
}
