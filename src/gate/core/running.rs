//! Grants of slots, and running attempts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::admit::admit;
use crate::gate::Action;
use crate::gate::AttemptOutcome;
use crate::gate::FailureCode;
use crate::gate::core::ASK_RETRY_MS;
use crate::gate::core::Gate;
use crate::gate::core::resolving::finished;
use crate::gate::pending_request::Phase;
use crate::gate::pending_request::RunningAttempt;
use crate::net::LinkId;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Grant;
use crate::wire::RequestId;

impl Gate {
    pub(super) fn handle_grant(
        &mut self,
        now: Instant,
        link: LinkId,
        grant: Grant,
        out: &mut Vec<Action>,
    ) {
        let attempt = grant.attempt;
        let request = attempt.request;
        if self.has_started(&attempt) {
            return;
        }
        let waiting = self.is_waiting_at(link, &attempt);
        let admitted = self.check_admission(request);
        if waiting && admitted.is_ok() && self.may_start(now, link, &grant) {
            self.start(now, link, grant, out);
            return;
        }
        out.push(Action::Send(link, finished(attempt, Evidence::Nothing)));
        if !waiting {
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            let retry_at = now + Duration::from_millis(ASK_RETRY_MS);
            pending.attempt_number += 1;
            pending.phase = Phase::Unplaced { retry_at };
        }
        if let Err(code) = admitted {
            self.fail(now, request, code, None, out);
        }
    }

    pub(super) fn start(
        &mut self,
        now: Instant,
        link: LinkId,
        grant: Grant,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&grant.attempt.request) else {
            return;
        };
        pending.runs += 1;
        pending.phase = Phase::Running(RunningAttempt {
            host: grant.host.clone(),
            addr: grant.addr,
            link,
            since: now,
            abort_at: None,
        });
        let team = pending.team.clone();
        out.push(Action::Run { grant, team });
    }

    /// Whether the attempt already occupies its slot, so that its grant is a duplicate.
    pub(super) fn has_started(&self, attempt: &AttemptId) -> bool {
        let pending = self.requests.get(&attempt.request);
        let runs = pending.is_some_and(|p| p.attempt() == *attempt && p.run().is_some());
        runs || self.cancelled.contains(attempt)
    }

    /// Whether the attempt waits for a slot from the scheduler at this link.
    pub(super) fn is_waiting_at(&self, link: LinkId, attempt: &AttemptId) -> bool {
        let pending = self.requests.get(&attempt.request);
        pending.is_some_and(|p| {
            let waiting = matches!(p.phase, Phase::Asked { link: asked, .. } if asked == link);
            waiting && p.attempt() == *attempt
        })
    }

    /// Checks that the key of a request still gives access to the service.
    pub(super) fn check_admission(&self, request: RequestId) -> Result<(), FailureCode> {
        let Some(pending) = self.requests.get(&request) else {
            return Ok(());
        };
        let submission = &pending.submission;
        admit(&self.state, &submission.service, submission.key.as_ref()).map(drop)
    }

    /// Whether a grant may be used: the state is fresh, the scheduler is still a member, and the
    /// host is usable.
    pub(super) fn may_start(&self, now: Instant, link: LinkId, grant: &Grant) -> bool {
        let host = self.state.hosts.get(&grant.host);
        let usable = host.is_some_and(|host| self.state.is_usable(host));
        self.is_fresh(now) && self.links.is_member(&self.state, link) && usable
    }

    pub(super) fn handle_attempt_end(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&attempt.request) else {
            return;
        };
        let run = pending.run().filter(|_| pending.attempt() == attempt);
        let Some(run) = run.cloned() else {
            if outcome == AttemptOutcome::Answered {
                self.forget(now, attempt.request, Evidence::Nothing, out);
            }
            return;
        };
        match outcome {
            AttemptOutcome::Answered => {
                self.release(attempt, Evidence::Served, run.link, out);
                self.remove(attempt.request);
            }
            AttemptOutcome::Unknown => self.cancel_attempt(now, attempt.request, out),
            AttemptOutcome::Failed | AttemptOutcome::NotRun(_) => {
                self.release(attempt, outcome.evidence(), run.link, out);
                self.end_run(attempt.request, outcome == AttemptOutcome::Failed);
                self.retry_or_fail(now, attempt.request, outcome.verdict(), out);
            }
        }
    }

    /// Cancels an attempt that got no response, to learn whether it ran.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        out: &mut Vec<Action>,
    ) {
        if let Some(cancelled) = self.cancelled_attempt(request, Evidence::Failed) {
            self.cancelled.add(now, cancelled, out);
            self.end_run(request, false);
        }
    }

    /// Ends the run of the current attempt. Further attempts avoid its host. `error_held` tells
    /// whether the handler holds back its error response.
    pub(super) fn end_run(&mut self, request: RequestId, error_held: bool) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.error_held |= error_held;
        if let Phase::Running(run) = std::mem::replace(&mut pending.phase, Phase::Cancelling) {
            pending.avoid_hosts.push(run.host);
        }
    }

    /// The lease renewals of all running attempts, one for each backend server.
    pub(super) fn renewals(&self) -> Vec<Action> {
        let mut groups: BTreeMap<SocketAddr, Vec<AttemptId>> = BTreeMap::new();
        for pending in self.requests.values() {
            if let Some(run) = pending.run() {
                groups.entry(run.addr).or_default().push(pending.attempt());
            }
        }
        groups
            .into_iter()
            .map(|(addr, attempts)| Action::Renew(addr, attempts))
            .collect()
    }
}
