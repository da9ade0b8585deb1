//! A request that the gate holds.

use std::net::SocketAddr;
use std::time::Instant;

use crate::gate::Submission;
use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::wire::Ask;
use crate::wire::AttemptId;
use crate::wire::Running;
use crate::wire::Verdict;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// No scheduler has been asked, or the one asked is gone.
    Unplaced,
    /// A scheduler has been asked.
    Asked(LinkId),
    /// An attempt runs.
    Running {
        /// The host that runs it.
        host: HostName,
        /// Address of its backend server.
        addr: SocketAddr,
        /// Link to the scheduler that granted the slot.
        link: LinkId,
    },
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
    /// Where it stands.
    pub phase: Phase,
    /// Hosts that have failed it.
    pub avoid: Vec<HostName>,
    /// Whether schedulers that did not grant it may have been told of it.
    pub reported: bool,
    /// What is known of the earlier attempts together.
    pub verdict: Verdict,
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
            phase: Phase::Unplaced,
            avoid: Vec::new(),
            reported: false,
            verdict: Verdict::NotRun,
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
    pub fn ask(&self, now: Instant) -> Ask {
        Ask {
            attempt: self.attempt(),
            service: self.submission.service.clone(),
            team: self.team.clone(),
            urgent: self.urgent,
            remaining: millis(self.submission.deadline, now),
            waited: millis(now, self.since),
            avoid: self.avoid.clone(),
        }
    }

    /// The report of the attempt that runs, if one does.
    #[must_use]
    pub fn running(&self) -> Option<Running> {
        let Phase::Running { host, .. } = &self.phase else {
            return None;
        };
        Some(Running {
            attempt: self.attempt(),
            service: self.submission.service.clone(),
            team: self.team.clone(),
            host: host.clone(),
        })
    }
}

/// Milliseconds from `earlier` to `later`, 0 if it is the other way round.
fn millis(later: Instant, earlier: Instant) -> u32 {
    let span = later.saturating_duration_since(earlier).as_millis();
    u32::try_from(span).unwrap_or(u32::MAX)
}
