//! Attempts whose end is not known for sure, and the slots that they hold.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::gate::Action;
use crate::gate::CancelResult;
use crate::gate::FailureCode;
use crate::gate::closing::Closing;
use crate::gate::core::Gate;
use crate::gate::core::RETRY_MS;
use crate::gate::pending::Phase;
use crate::name::ServiceName;
use crate::net::LinkId;
use crate::observe::NoteKind;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::ExecutionStatus;
use crate::wire::Message;
use crate::wire::RequestId;

/// Times that one request is sent to a backend server at most.
const RUN_LIMIT: u32 = 4;
/// Age from which a backend server should know an attempt, in milliseconds.
const KNOWN_MS: u64 = 1_000;
/// Longest that the answer of a task that has ended is waited for, in milliseconds.
const LATE_MS: u64 = 5_000;

impl Gate {
    /// Decides what follows from an attempt that is over: a further one, or the final answer.
    pub(super) fn resolve(
        &mut self,
        now: Instant,
        request: RequestId,
        execution: ExecutionStatus,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.execution = pending.execution.and(execution);
        pending.phase = Phase::Unplaced { again: now };
        let safe = execution == ExecutionStatus::NotRun || pending.submission.idempotent;
        let left = pending.runs < RUN_LIMIT && now < pending.submission.deadline;
        if safe && left && self.budgets.withdraw(&pending.submission.service) {
            pending.number += 1;
            let cause = format!("attempt {}: {}", pending.runs, execution.as_str());
            let note = pending.note(NoteKind::RequestRetried, cause);
            out.push(Action::Note(Box::new(note)));
            self.place_one(now, request, out);
            return;
        }
        self.fail(
            now,
            request,
            FailureCode::AttemptFailed,
            Some(RETRY_MS),
            out,
        );
    }

    /// A backend server says that an attempt does not run.
    pub(super) fn doubt(&mut self, now: Instant, attempt: &AttemptId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let present = pending.attempt() == *attempt;
        let Phase::Running(run) = &mut pending.phase else {
            return;
        };
        let known = run.since + Duration::from_millis(KNOWN_MS) <= now;
        if present && known && run.doubt.is_none() {
            run.doubt = Some(now + Duration::from_millis(LATE_MS));
            out.push(Action::Cancel(run.addr, vec![*attempt]));
        }
    }

    /// A backend server says, or does not say, what became of an attempt.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        settled: CancelResult,
        out: &mut Vec<Action>,
    ) {
        if settled != CancelResult::Unreachable
            && let Some(closing) = self.closing.remove(&attempt)
        {
            let refused = settled == CancelResult::Refused;
            let evidence = if refused {
                Evidence::Nothing
            } else {
                closing.evidence
            };
            self.release_closing(&closing, evidence, out);
        }
        let request = attempt.request;
        let pending = self.requests.get(&request);
        let Some(pending) = pending.filter(|p| p.attempt() == attempt) else {
            return;
        };
        match (&pending.phase, settled) {
            (Phase::Settling, CancelResult::Refused) => {
                self.resolve(now, request, ExecutionStatus::NotRun, out);
            }
            (Phase::Settling, _) => self.resolve(now, request, ExecutionStatus::Unknown, out),
            (Phase::Running(run), CancelResult::Refused) => {
                let link = run.link;
                out.push(Action::AbortExchange(request, run.addr));
                self.release(attempt, Evidence::Nothing, link, out);
                self.leave_host(request, false);
                self.resolve(now, request, ExecutionStatus::NotRun, out);
            }
            _ => {}
        }
    }

    pub(super) fn closing_of(&self, request: RequestId, evidence: Evidence) -> Option<Closing> {
        let pending = self.requests.get(&request)?;
        let run = pending.run()?;
        Some(Closing {
            run: pending.report(run),
            addr: run.addr,
            link: run.link,
            reported: pending.reported,
            evidence,
        })
    }

    pub(super) fn release_closing(
        &self,
        closing: &Closing,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        let service = &closing.run.service;
        let links = self.informed(service, closing.reported, closing.link);
        out.extend(release(closing.run.attempt, evidence, links));
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
        let links = self.informed(service, pending.reported, granter);
        out.extend(release(attempt, evidence, links));
    }

    /// The schedulers that may count a slot: the one that granted it, the one in charge if that
    /// is another by now, and all if they have been told that it runs.
    pub(super) fn informed(
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

/// Tells schedulers that a slot is free.
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
