//! An error on its way to a reply.

use std::borrow::Cow;
use std::fmt::Display;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::WWW_AUTHENTICATE;
use serde::Serialize;

use crate::http::ErrorBody;
use crate::http::ErrorOutcome;
use crate::http::Reply;
use crate::http::json_reply;
use crate::wire::ExecutionStatus;

/// An error with its HTTP status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpError {
    /// Status of the reply.
    pub status: StatusCode,
    /// Body of the reply.
    pub body: ErrorBody,
}

#[derive(Serialize)]
struct Envelope {
    error: ErrorBody,
}

impl HttpError {
    /// An error that names no time for a repeat.
    #[must_use]
    pub fn new(
        status: StatusCode,
        code: &'static str,
        message: impl Display,
        execution: ExecutionStatus,
    ) -> Self {
        let body = ErrorBody {
            code: Cow::Borrowed(code),
            message: message.to_string(),
            execution,
            retry_after: None,
        };
        Self { status, body }
    }

    /// The same error, naming when a repeat makes sense, in milliseconds from now.
    #[must_use]
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.body.retry_after = Some(millis);
        self
    }

    /// The error as a reply; `Retry-After` is in whole seconds, rounded up.
    #[must_use]
    pub fn into_reply(self) -> Reply {
        let wait = self.body.retry_after;
        let outcome = ErrorOutcome {
            code: match self.body.code {
                Cow::Borrowed(code) => code,
                Cow::Owned(_) => "other",
            },
            execution: self.body.execution,
        };
        let mut reply = json_reply(self.status, &Envelope { error: self.body });
        reply.extensions_mut().insert(outcome);
        let headers = reply.headers_mut();
        if let Some(millis) = wait {
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1000)));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        reply
    }
}
