//! HTTP headers between callers and the gate, and between the gate and backend servers.

use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;

use crate::gate::FailureCode;
use crate::record::KeyHash;

/// Request id, chosen by the caller or generated; repeated in the response.
pub const REQUEST_ID: &str = "x-request-id";
/// Milliseconds until the caller stops waiting.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// `true` if the request may safely run more than once.
pub const IDEMPOTENT: &str = "x-idempotent";
/// `true` if the request should start before non-urgent ones.
pub const URGENT: &str = "x-urgent";
/// Id of an attempt.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Team that an attempt is charged to.
pub const TEAM: &str = "x-team";
/// Milliseconds after which an attempt is stopped unless its lease is renewed.
pub const LEASE_MS: &str = "x-lease-ms";
/// Present in a backend server's response if it did not run the request.
pub const NOT_RUN: &str = "x-not-run";

/// Headers that are not forwarded because they apply to one connection or carry credentials.
const HOP_BY_HOP_HEADERS: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Headers that are only used between the gate and backend servers.
const INTERNAL_HEADERS: [&str; 4] = [ATTEMPT_ID, TEAM, LEASE_MS, NOT_RUN];

/// Deadline of a request without [`DEADLINE_MS`], in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum length of a caller's request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Parsed headers of a caller's request.
#[derive(Debug, Clone)]
pub struct CallerHeaders {
    /// Request id chosen by the caller, if it sent one.
    pub id: Option<String>,
    /// Hash of the key, if the caller sent one.
    pub key: Option<KeyHash>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether the request should start before non-urgent ones.
    pub urgent: bool,
}

impl CallerHeaders {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// `BadDeadline` for [`DEADLINE_MS`], `UnknownKey` for an `authorization` header of another
    /// scheme than `Bearer`, and `BadRequest` for all other headers.
    pub fn parse(headers: &HeaderMap, now: Instant) -> Result<Self, FailureCode> {
        let id = header_text(headers, REQUEST_ID)?;
        if id.is_some_and(|id| id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES) {
            return Err(FailureCode::BadRequest);
        }
        Ok(Self {
            id: id.map(String::from),
            key: parse_key(headers)?,
            deadline: parse_deadline(headers, now)?,
            idempotent: parse_flag(headers, IDEMPOTENT)?,
            urgent: parse_flag(headers, URGENT)?,
        })
    }
}

/// Removes the headers that are not forwarded, and those that `connection` names.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS.into_iter().chain(INTERNAL_HEADERS) {
        headers.remove(name);
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, FailureCode> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_| FailureCode::BadRequest))
        .transpose()
}

fn parse_flag(headers: &HeaderMap, name: &str) -> Result<bool, FailureCode> {
    match header_text(headers, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(FailureCode::BadRequest),
    }
}

fn parse_key(headers: &HeaderMap) -> Result<Option<KeyHash>, FailureCode> {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return Ok(None);
    };
    value
        .as_bytes()
        .strip_prefix(b"Bearer ")
        .map(|key| Some(KeyHash::of(key)))
        .ok_or(FailureCode::UnknownKey)
}

fn parse_deadline(headers: &HeaderMap, now: Instant) -> Result<Instant, FailureCode> {
    let millis = match header_text(headers, DEADLINE_MS).map_err(|_| FailureCode::BadDeadline)? {
        None => DEFAULT_DEADLINE_MS,
        Some(text) => text.parse().map_err(|_| FailureCode::BadDeadline)?,
    };
    if millis == 0 || millis > MAX_DEADLINE_MS {
        return Err(FailureCode::BadDeadline);
    }
    Ok(now + Duration::from_millis(millis))
}
