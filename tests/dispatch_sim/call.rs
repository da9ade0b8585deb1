//! A request of a caller and its answers.

use mimosastep::gate::FailureCode;
use mimosastep::wire::AttemptId;
use mimosastep::wire::RequestId;
use mimosastep::wire::Verdict;

/// How a job behaves on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// It succeeds.
    Succeeding,
    /// It would succeed, but its caller disconnects early.
    Abandoned,
    /// It fails on every host.
    Failing,
}

/// A final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A response of a backend server; holds the request that it belongs to.
    Service(RequestId),
    /// An error response of a backend server; holds the request that it belongs to.
    Error(RequestId),
    /// An error of the gate itself.
    Failure(FailureCode, Verdict),
}

/// A request and what happened to it.
#[derive(Debug)]
pub struct Call {
    /// Index of the gate that received it.
    pub gate: usize,
    /// Index of its service.
    pub service: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    pub job: JobKind,
    /// When it was sent and when the last answer arrived, in milliseconds since the start.
    pub times: (u64, u64),
    /// How often the gate sent it to a backend server.
    pub runs: u32,
    /// How often a backend server started it.
    pub starts: u32,
    /// Final answers; a correct gate gives exactly one, or none if the caller disconnects.
    pub answers: Vec<Answer>,
    /// Whether the caller disconnected or its gate was killed.
    pub abandoned: bool,
    /// The attempt whose HTTP exchange is open.
    pub open_attempt: Option<AttemptId>,
    /// A backend server's error response that the gate holds back while it retries.
    pub held_error: Option<RequestId>,
}
