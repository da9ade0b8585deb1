//! Attempts that ended without a clear result, and the release of their slots.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::gate::Action;
use crate::gate::CancelResult;
use crate::gate::FailureCode;
use crate::gate::cancelled_attempts::CancelledAttempt;
use crate::gate::core::Gate;
use crate::gate::core::RETRY_AFTER_MS;
use crate::gate::pending_request::Phase;
use crate::name::ServiceName;
use crate::net::LinkId;
use crate::observe::NoteKind;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Message;
use crate::wire::RequestId;
use crate::wire::Verdict;

/// Maximum number of times that a request is sent to a backend server.
const MAX_RUNS: u32 = 4;
/// Time after which a backend server is expected to have received an attempt, in milliseconds.
/// Before, the attempt may still be in transit.
const ARRIVAL_TIMEOUT_MS: u64 = 1_000;
/// Maximum time to wait for the response of a task that no longer runs, in milliseconds.
const LATE_RESPONSE_MS: u64 = 5_000;

impl Gate {
    /// Starts a further attempt after one has ended without success, or sends the final response.
    pub(super) fn retry_or_fail(
        &mut self,
        now: Instant,
        request: RequestId,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.prior_verdict = pending.prior_verdict.and(verdict);
        pending.phase = Phase::Unplaced { retry_at: now };
        let safe = verdict == Verdict::NotRun || pending.submission.idempotent;
        let allowed = pending.runs < MAX_RUNS && now < pending.submission.deadline;
        if safe && allowed && self.budgets.withdraw(&pending.submission.service) {
            pending.attempt_number += 1;
            let cause = format!("attempt {}: {}", pending.runs, verdict.as_str());
            let note = pending.note(NoteKind::RequestRetried, cause);
            out.push(Action::Note(Box::new(note)));
            self.place_one(now, request, out);
            return;
        }
        self.fail(
            now,
            request,
            FailureCode::AttemptFailed,
            Some(RETRY_AFTER_MS),
            out,
        );
    }

    /// Handles a backend server's report that it does not run an attempt. The response may still be
    /// in transit, so the gate waits for it.
    pub(super) fn handle_unknown(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let is_current = pending.attempt() == *attempt;
        let Phase::Running(run) = &mut pending.phase else {
            return;
        };
        let has_arrived = run.since + Duration::from_millis(ARRIVAL_TIMEOUT_MS) <= now;
        if is_current && has_arrived && run.abort_at.is_none() {
            run.abort_at = Some(now + Duration::from_millis(LATE_RESPONSE_MS));
            out.push(Action::Cancel(run.addr, vec![*attempt]));
        }
    }

    /// Handles the result of a cancellation.
    pub(super) fn handle_cancel_result(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        result: CancelResult,
        out: &mut Vec<Action>,
    ) {
        if result != CancelResult::Unreachable
            && let Some(cancelled) = self.cancelled.remove(&attempt)
        {
            let refused = result == CancelResult::Refused;
            let evidence = if refused {
                Evidence::Nothing
            } else {
                cancelled.evidence
            };
            self.release_cancelled(&cancelled, evidence, out);
        }
        let request = attempt.request;
        let pending = self.requests.get(&request);
        let Some(pending) = pending.filter(|p| p.attempt() == attempt) else {
            return;
        };
        match (&pending.phase, result) {
            (Phase::Cancelling, CancelResult::Refused) => {
                self.retry_or_fail(now, request, Verdict::NotRun, out);
            }
            (Phase::Cancelling, _) => self.retry_or_fail(now, request, Verdict::Unknown, out),
            (Phase::Running(run), CancelResult::Refused) => {
                let link = run.link;
                out.push(Action::AbortExchange(request, run.addr));
                self.release(attempt, Evidence::Nothing, link, out);
                self.end_run(request, false);
                self.retry_or_fail(now, request, Verdict::NotRun, out);
            }
            _ => {}
        }
    }

    /// The running attempt of a request, as an attempt to cancel; `None` if none is running.
    pub(super) fn cancelled_attempt(
        &self,
        request: RequestId,
        evidence: Evidence,
    ) -> Option<CancelledAttempt> {
        let pending = self.requests.get(&request)?;
        let run = pending.run()?;
        Some(CancelledAttempt {
            run: pending.report(run),
            addr: run.addr,
            link: run.link,
            reported: pending.reported,
            evidence,
        })
    }

    pub(super) fn release_cancelled(
        &self,
        cancelled: &CancelledAttempt,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        let service = &cancelled.run.service;
        let links = self.schedulers_to_notify(service, cancelled.reported, cancelled.link);
        out.extend(release(cancelled.run.attempt, evidence, links));
    }

    pub(super) fn release(
        &self,
        attempt: AttemptId,
        evidence: Evidence,
        granter: LinkId,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&attempt.request) else {
            return;
        };
        let service = &pending.submission.service;
        let links = self.schedulers_to_notify(service, pending.reported, granter);
        out.extend(release(attempt, evidence, links));
    }

    /// The schedulers that may count a slot as occupied: the one that granted it, the current owner
    /// of the service, and all if the attempt was reported to them.
    pub(super) fn schedulers_to_notify(
        &self,
        service: &ServiceName,
        reported: bool,
        granter: LinkId,
    ) -> BTreeSet<LinkId> {
        let owner = self.links.owner(&self.state, service);
        let links = self.links.all();
        links
            .filter(|link| reported || Some(*link) == owner)
            .chain([granter])
            .collect()
    }
}

/// Sends schedulers the release of a slot.
fn release(
    attempt: AttemptId,
    evidence: Evidence,
    links: BTreeSet<LinkId>,
) -> impl Iterator<Item = Action> {
    let links = links.into_iter();
    links.map(move |link| Action::Send(link, finished(attempt, evidence)))
}

pub(super) const fn finished(attempt: AttemptId, evidence: Evidence) -> Message {
    Message::Finished { attempt, evidence }
}
