//! Grants, and attempts from their start to their end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::admit::admit;
use crate::gate::Action;
use crate::gate::AttemptOutcome;
use crate::gate::FailureCode;
use crate::gate::core::Gate;
use crate::gate::core::PAUSE_MS;
use crate::gate::core::settling::finished;
use crate::gate::pending::Phase;
use crate::gate::pending::Run;
use crate::net::LinkId;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Grant;
use crate::wire::RequestId;

impl Gate {
    pub(super) fn grant(
        &mut self,
        now: Instant,
        link: LinkId,
        grant: Grant,
        out: &mut Vec<Action>,
    ) {
        let attempt = grant.attempt;
        let request = attempt.request;
        if self.is_started(&attempt) {
            return;
        }
        let asked = self.is_asked(link, &attempt);
        let admitted = self.admitted(request);
        if asked && admitted.is_ok() && self.may_start(now, link, &grant) {
            self.start(now, link, grant, out);
            return;
        }
        out.push(Action::Send(link, finished(attempt, Evidence::Nothing)));
        if !asked {
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            let again = now + Duration::from_millis(PAUSE_MS);
            pending.number += 1;
            pending.phase = Phase::Unplaced { again };
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
        pending.phase = Phase::Running(Run {
            host: grant.host.clone(),
            addr: grant.addr,
            link,
            since: now,
            doubt: None,
        });
        let team = pending.team.clone();
        out.push(Action::Run { grant, team });
    }

    /// Whether a repeated grant names an attempt that occupies its slot already.
    pub(super) fn is_started(&self, attempt: &AttemptId) -> bool {
        let pending = self.requests.get(&attempt.request);
        let runs = pending.is_some_and(|p| p.attempt() == *attempt && p.run().is_some());
        runs || self.closing.contains(attempt)
    }

    pub(super) fn is_asked(&self, link: LinkId, attempt: &AttemptId) -> bool {
        let pending = self.requests.get(&attempt.request);
        pending.is_some_and(|p| {
            let asked = matches!(p.phase, Phase::Asked { link: asked, .. } if asked == link);
            asked && p.attempt() == *attempt
        })
    }

    /// Whether the key that came with a request still gives access.
    pub(super) fn admitted(&self, request: RequestId) -> Result<(), FailureCode> {
        let Some(pending) = self.requests.get(&request) else {
            return Ok(());
        };
        let submission = &pending.submission;
        admit(&self.state, &submission.service, submission.key.as_ref()).map(drop)
    }

    /// Whether a grant may be used: the state is recent, the scheduler still is a member, and the
    /// host still takes work.
    pub(super) fn may_start(&self, now: Instant, link: LinkId, grant: &Grant) -> bool {
        let host = self.state.hosts.get(&grant.host);
        let usable = host.is_some_and(|host| self.state.is_usable(host));
        self.is_fresh(now) && self.links.is_member(&self.state, link) && usable
    }

    pub(super) fn end(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        ended: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&attempt.request) else {
            return;
        };
        let run = pending.run().filter(|_| pending.attempt() == attempt);
        let Some(run) = run.cloned() else {
            if ended == AttemptOutcome::Answered {
                self.forget(now, attempt.request, Evidence::Nothing, out);
            }
            return;
        };
        match ended {
            AttemptOutcome::Answered => {
                self.release(attempt, Evidence::Served, run.link, out);
                self.remove(attempt.request);
            }
            AttemptOutcome::Unknown => self.give_up(now, attempt.request, out),
            AttemptOutcome::Failed | AttemptOutcome::NotRun(_) => {
                self.release(attempt, ended.evidence(), run.link, out);
                self.leave_host(attempt.request, ended == AttemptOutcome::Failed);
                self.resolve(now, attempt.request, ended.execution(), out);
            }
        }
    }

    /// Asks the backend server what became of an attempt that got no answer.
    pub(super) fn give_up(&mut self, now: Instant, request: RequestId, out: &mut Vec<Action>) {
        if let Some(closing) = self.closing_of(request, Evidence::Failed) {
            self.closing.add(now, closing, out);
            self.leave_host(request, false);
        }
    }

    /// Ends the present attempt's run; its host should not get the request again.
    pub(super) fn leave_host(&mut self, request: RequestId, held: bool) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.held |= held;
        if let Phase::Running(run) = std::mem::replace(&mut pending.phase, Phase::Settling) {
            pending.avoid.push(run.host);
        }
    }

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
