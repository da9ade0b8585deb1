//! A caller's request and what became of it.

use mimosastep::gate::FailureCode;
use mimosastep::wire::AttemptId;
use mimosastep::wire::ExecutionStatus;
use mimosastep::wire::RequestId;

/// What a job does wherever it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Job {
    /// It ends well.
    Sound,
    /// It ends well, and its caller goes away early.
    Withdrawn,
    /// It fails on every host.
    Failing,
}

/// A final answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The backend server's answer to this request.
    Service(RequestId),
    /// The backend server's error, to this request.
    Error(RequestId),
    /// The gate's own.
    Failure(FailureCode, ExecutionStatus),
}

/// One request.
#[derive(Debug)]
pub struct Call {
    /// Gate that has it.
    pub gate: usize,
    /// Index of its service.
    pub service: usize,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// What it does.
    pub job: Job,
    /// When it was sent, and when the last answer came, in milliseconds.
    pub times: (u64, u64),
    /// Times that the gate sent it to a backend server.
    pub runs: u32,
    /// Times that a backend server started it.
    pub starts: u32,
    /// Final answers.
    pub answers: Vec<Answer>,
    /// Whether the caller or its gate went away.
    pub gone: bool,
    /// The attempt whose exchange is open.
    pub open: Option<AttemptId>,
    /// A backend server's error that is held back.
    pub held: Option<RequestId>,
}
