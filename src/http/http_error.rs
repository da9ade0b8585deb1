//! Errors that are sent as HTTP replies.

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
use crate::wire::Verdict;

/// An error with its HTTP status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpError {
    /// HTTP status of the reply.
    pub status: StatusCode,
    /// Sent as the value of `error` in a JSON object.
    pub body: ErrorBody,
}

#[derive(Serialize)]
struct Envelope {
    error: ErrorBody,
}

impl HttpError {
    /// Creates an error without a time for a retry.
    #[must_use]
    pub fn new(
        status: StatusCode,
        code: &'static str,
        message: impl Display,
        verdict: Verdict,
    ) -> Self {
        let body = ErrorBody {
            code: Cow::Borrowed(code),
            message: message.to_string(),
            verdict,
            retry_after: None,
        };
        Self { status, body }
    }

    /// Sets the number of milliseconds after which a retry is worthwhile.
    #[must_use]
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.body.retry_after = Some(millis);
        self
    }

    /// Converts the error into a reply; `Retry-After` is in seconds, rounded up.
    #[must_use]
    pub fn into_reply(self) -> Reply {
        let retry_after = self.body.retry_after;
        let outcome = ErrorOutcome {
            code: match self.body.code {
                Cow::Borrowed(code) => code,
                Cow::Owned(_) => "other",
            },
            verdict: self.body.verdict,
        };
        let mut reply = json_reply(self.status, &Envelope { error: self.body });
        reply.extensions_mut().insert(outcome);
        let headers = reply.headers_mut();
        if let Some(millis) = retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1000)));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        reply
    }
}
