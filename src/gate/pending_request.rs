//! A request in progress at the gate.

use std::net::SocketAddr;
use std::time::Instant;

use crate::gate::Submission;
use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::wire::AttemptId;
use crate::wire::Running;
use crate::wire::SlotRequest;
use crate::wire::Verdict;

/// Progress of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// No scheduler is asked: none is connected, or the request waits before it is asked for again.
    Unplaced {
        /// When to ask a scheduler.
        retry_at: Instant,
    },
    /// A scheduler has been asked for a slot.
    Asked {
        /// Link to the scheduler.
        link: LinkId,
        /// When to ask again if there is no reply.
        retry_at: Instant,
    },
    /// An attempt is running.
    Running(RunningAttempt),
    /// An attempt ended without a response and is being cancelled, to learn whether it ran.
    Cancelling,
}

/// An attempt that was sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// Host that runs the attempt.
    pub host: HostName,
    /// Address of its backend server.
    pub addr: SocketAddr,
    /// Link to the scheduler that granted the slot.
    pub link: LinkId,
    /// When the attempt was sent.
    pub since: Instant,
    /// When to stop waiting for the response, set once the backend server reports that it does not
    /// run the attempt.
    pub abort_at: Option<Instant>,
}

/// A request that was accepted and has no response yet.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// The request as the caller sent it.
    pub submission: Submission,
    /// Team that its slots are charged to.
    pub team: TeamName,
    /// Whether it starts before non-urgent ones.
    pub urgent: bool,
    /// When the gate accepted it.
    pub since: Instant,
    /// Number of the current attempt, starting at 1.
    pub attempt_number: u32,
    /// Number of attempts that were sent to a backend server.
    pub runs: u32,
    /// Progress of the current attempt.
    pub phase: Phase,
    /// Hosts of earlier attempts, which further attempts avoid.
    pub avoid_hosts: Vec<HostName>,
    /// Whether an attempt may have been reported to schedulers that did not grant its slot.
    pub reported: bool,
    /// Whether any earlier attempt ran or may have run.
    pub prior_verdict: Verdict,
    /// Whether the handler holds back a backend server's error response.
    pub error_held: bool,
}

impl PendingRequest {
    /// Creates a request that is accepted at `now`.
    #[must_use]
    pub const fn new(submission: Submission, team: TeamName, urgent: bool, now: Instant) -> Self {
        Self {
            submission,
            team,
            urgent,
            since: now,
            attempt_number: 1,
            runs: 0,
            phase: Phase::Unplaced { retry_at: now },
            avoid_hosts: Vec::new(),
            reported: false,
            prior_verdict: Verdict::NotRun,
            error_held: false,
        }
    }

    /// Id of the current attempt.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.submission.request,
            number: self.attempt_number,
        }
    }

    /// Builds the message that asks a scheduler for a slot.
    #[must_use]
    pub fn ask(&self, now: Instant) -> SlotRequest {
        SlotRequest {
            attempt: self.attempt(),
            service: self.submission.service.clone(),
            team: self.team.clone(),
            urgent: self.urgent,
            remaining: millis(self.submission.deadline, now),
            waited: millis(now, self.since),
            avoid: self.avoid_hosts.clone(),
        }
    }

    /// The running attempt, if there is one.
    #[must_use]
    pub const fn run(&self) -> Option<&RunningAttempt> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Report of the running attempt for schedulers, if there is one.
    #[must_use]
    pub fn running(&self) -> Option<Running> {
        self.run().map(|run| self.report(run))
    }

    /// Report of an attempt for schedulers.
    #[must_use]
    pub fn report(&self, run: &RunningAttempt) -> Running {
        Running {
            attempt: self.attempt(),
            service: self.submission.service.clone(),
            team: self.team.clone(),
            host: run.host.clone(),
        }
    }

    /// Creates a time line note about the request, under its external id if it has one.
    #[must_use]
    pub fn note(&self, kind: NoteKind, cause: String) -> Note {
        let note = Note::new(kind, cause)
            .team(&self.team)
            .service(&self.submission.service);
        match &self.submission.external_id {
            Some(id) => note.request(id),
            None => note.request(self.submission.request),
        }
    }

    /// Whether the request ran or may have run, the current attempt included.
    #[must_use]
    pub const fn current_verdict(&self) -> Verdict {
        match self.phase {
            Phase::Running(_) | Phase::Cancelling => self.prior_verdict.and(Verdict::Unknown),
            Phase::Unplaced { .. } | Phase::Asked { .. } => self.prior_verdict,
        }
    }
}

/// Milliseconds from `earlier` to `later`; 0 if `later` is the earlier one.
fn millis(later: Instant, earlier: Instant) -> u32 {
    let span = later.saturating_duration_since(earlier).as_millis();
    u32::try_from(span).unwrap_or(u32::MAX)
}
