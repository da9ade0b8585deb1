//! A request that the gate holds.

use std::net::SocketAddr;
use std::time::Instant;

use crate::gate::Submission;
use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::wire::AttemptId;
use crate::wire::ExecutionStatus;
use crate::wire::Running;
use crate::wire::SlotRequest;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// No scheduler has been asked, or the one asked could not say.
    Unplaced {
        /// When to ask next.
        again: Instant,
    },
    /// A scheduler has been asked.
    Asked {
        /// Link to it.
        link: LinkId,
        /// When to ask it again, should it say nothing.
        again: Instant,
    },
    /// An attempt runs.
    Running(Run),
    /// An attempt ended without an answer, and its backend server is asked what became of it.
    Settling,
}

/// An attempt that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The host that runs it.
    pub host: HostName,
    /// Address of its backend server.
    pub addr: SocketAddr,
    /// Link to the scheduler that granted the slot.
    pub link: LinkId,
    /// When it was sent.
    pub since: Instant,
    /// When to give it up, once the backend server said that it does not run.
    pub doubt: Option<Instant>,
}

/// A request between its acceptance and its answer.
#[derive(Debug, Clone)]
pub struct Pending {
    /// The request.
    pub submission: Submission,
    /// Team that pays for it.
    pub team: TeamName,
    /// Whether it starts before others.
    pub urgent: bool,
    /// When it was accepted.
    pub since: Instant,
    /// Number of the present attempt, counted from 1.
    pub number: u32,
    /// Attempts that were sent to a backend server.
    pub runs: u32,
    /// Where it stands.
    pub phase: Phase,
    /// Hosts that have failed it.
    pub avoid: Vec<HostName>,
    /// Whether schedulers that did not grant it may have been told of it.
    pub reported: bool,
    /// What is known of the earlier attempts together.
    pub execution: ExecutionStatus,
    /// Whether a backend server's error is held back for the caller.
    pub held: bool,
}

impl Pending {
    /// A request that has just been accepted.
    #[must_use]
    pub const fn new(submission: Submission, team: TeamName, urgent: bool, now: Instant) -> Self {
        Self {
            submission,
            team,
            urgent,
            since: now,
            number: 1,
            runs: 0,
            phase: Phase::Unplaced { again: now },
            avoid: Vec::new(),
            reported: false,
            execution: ExecutionStatus::NotRun,
            held: false,
        }
    }

    /// The present attempt.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.submission.request,
            number: self.number,
        }
    }

    /// The question for a slot.
    #[must_use]
    pub fn ask(&self, now: Instant) -> SlotRequest {
        SlotRequest {
            attempt: self.attempt(),
            service: self.submission.service.clone(),
            team: self.team.clone(),
            urgent: self.urgent,
            remaining: millis(self.submission.deadline, now),
            waited: millis(now, self.since),
            avoid: self.avoid.clone(),
        }
    }

    /// The attempt that runs, if one does.
    #[must_use]
    pub const fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// The report of the attempt that runs, if one does.
    #[must_use]
    pub fn running(&self) -> Option<Running> {
        self.run().map(|run| self.report(run))
    }

    /// The report of an attempt.
    #[must_use]
    pub fn report(&self, run: &Run) -> Running {
        Running {
            attempt: self.attempt(),
            service: self.submission.service.clone(),
            team: self.team.clone(),
            host: run.host.clone(),
        }
    }

    /// A note about the request, under the caller's identity of it if there is one.
    #[must_use]
    pub fn note(&self, kind: NoteKind, cause: String) -> Note {
        let note = Note::new(kind, cause)
            .team(&self.team)
            .service(&self.submission.service);
        match &self.submission.external_id {
            Some(caller) => note.request(caller),
            None => note.request(self.submission.request),
        }
    }

    /// What is known about the request while its present attempt has not ended.
    #[must_use]
    pub const fn verdict_now(&self) -> ExecutionStatus {
        match self.phase {
            Phase::Running(_) | Phase::Settling => self.execution.and(ExecutionStatus::Unknown),
            Phase::Unplaced { .. } | Phase::Asked { .. } => self.execution,
        }
    }
}

/// Milliseconds from `earlier` to `later`, 0 if it is the other way round.
fn millis(later: Instant, earlier: Instant) -> u32 {
    let span = later.saturating_duration_since(earlier).as_millis();
    u32::try_from(span).unwrap_or(u32::MAX)
}
