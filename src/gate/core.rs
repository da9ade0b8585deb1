//! The decision logic of a gate.

mod expiring;
mod placing;
mod resolving;
mod running;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use crate::admit::admit;
use crate::gate::Action;
use crate::gate::Event;
use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::Submission;
use crate::gate::cancelled_attempts::CancelledAttempts;
use crate::gate::external_ids::ExternalIds;
use crate::gate::pending_request::PendingRequest;
use crate::gate::pending_request::Phase;
use crate::gate::retry_budgets::RetryBudgets;
use crate::gate::scheduler_links::SchedulerLinks;
use crate::net::LinkId;
use crate::observe::NoteKind;
use crate::record::State;
use crate::wire::Evidence;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::RefusalCode;
use crate::wire::RequestId;

/// Retry time given to callers whose request the gate itself refused, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// Time until a request is asked for again after an unusable grant or an `Unavailable` refusal, in
/// milliseconds.
const ASK_RETRY_MS: u64 = 100;

/// Decides on requests: takes the state and events, and returns actions. Performs no I/O.
#[derive(Debug, Default)]
pub struct Gate {
    /// This process; `None` in tests that run a gate without membership.
    me: Option<Peer>,
    state: Rc<State>,
    fresh_until: Option<Instant>,
    stopping: bool,
    links: SchedulerLinks,
    requests: HashMap<RequestId, PendingRequest>,
    external_ids: ExternalIds,
    cancelled: CancelledAttempts,
    budgets: RetryBudgets,
}

impl Gate {
    /// Creates a gate with an empty state, which refuses requests until it gets a fresh one.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me: Some(me),
            ..Self::default()
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.update_state(now, state, out),
            Event::Fresh(until) => self.fresh_until = Some(until),
            Event::Up {
                link,
                node,
                incarnation,
            } => {
                self.links.add(node, link, incarnation);
                out.push(self.report(link));
                self.place_all(now, out);
            }
            Event::Down(link) => self.handle_link_down(now, link, out),
            Event::Submit(submission) => self.submit(now, submission, out),
            Event::Grant(link, grant) => self.handle_grant(now, link, grant, out),
            Event::Refuse(link, refusal) => self.handle_refusal(now, link, &refusal, out),
            Event::AttemptEnded(attempt, outcome) => {
                self.handle_attempt_end(now, attempt, outcome, out)
            }
            Event::UnknownAttempts(attempts) => attempts
                .iter()
                .for_each(|a| self.handle_unknown(now, a, out)),
            Event::CancelResult(attempt, result) => {
                self.handle_cancel_result(now, attempt, result, out)
            }
            Event::CallerGone(request) => self.forget(now, request, Evidence::Nothing, out),
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now, out),
        }
    }

    /// Number of requests without a final response, plus cancelled attempts that may still run.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.len() + self.cancelled.len()
    }

    /// Whether the gate should receive requests: it is not stopping, its state is fresh, and it is
    /// connected to a scheduler.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.stopping && self.is_fresh(now) && !self.links.is_empty()
    }

    /// Whether the gate may start work and keep it running: its state is fresh, and does not show
    /// that this process has been removed from the membership. Others consider the work of a
    /// removed gate as over once its task leases have expired.
    fn is_fresh(&self, now: Instant) -> bool {
        let is_ended = |me: &Peer| self.state.is_ended(&me.node, me.incarnation);
        self.fresh_until.is_some_and(|until| now < until) && !self.me.as_ref().is_some_and(is_ended)
    }

    fn update_state(&mut self, now: Instant, state: Rc<State>, out: &mut Vec<Action>) {
        let epoch = self.state.epoch;
        self.state = state;
        if self.state.epoch == epoch {
            return;
        }
        let links: Vec<LinkId> = self.links.all().collect();
        out.extend(links.into_iter().map(|link| self.report(link)));
        self.place_all(now, out);
    }

    fn submit(&mut self, now: Instant, submission: Submission, out: &mut Vec<Action>) {
        let request = submission.request;
        if !self.is_fresh(now) {
            let failure = Failure::refused(RefusalCode::StateNotFresh, RETRY_AFTER_MS);
            out.push(Action::Fail(request, failure));
            return;
        }
        let admission = match admit(&self.state, &submission.service, submission.key.as_ref()) {
            Ok(admission) => admission,
            Err(code) => {
                out.push(Action::Fail(request, Failure::not_run(code)));
                return;
            }
        };
        if !self.external_ids.add(&admission.team, &submission) {
            out.push(Action::Fail(request, Failure::in_progress(RETRY_AFTER_MS)));
            return;
        }
        self.budgets.deposit(&submission.service);
        let urgent = submission.urgent && admission.urgent;
        let pending = PendingRequest::new(submission, admission.team, urgent, now);
        self.requests.insert(request, pending);
        self.place_one(now, request, out);
    }

    /// Ids of the requests that satisfy `wanted`, in ascending order.
    fn select(&self, wanted: impl Fn(&PendingRequest) -> bool) -> Vec<RequestId> {
        let selected = self.requests.values().filter(|p| wanted(p));
        let mut requests: Vec<RequestId> = selected.map(|p| p.submission.request).collect();
        requests.sort_unstable();
        requests
    }

    /// Removes a request that needs no further response, cancelling its attempt or queue entry.
    fn forget(
        &mut self,
        now: Instant,
        request: RequestId,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        if let Some(cancelled) = self.cancelled_attempt(request, evidence) {
            self.cancelled.add(now, cancelled, out);
        }
        let Some(pending) = self.remove(request) else {
            return;
        };
        if let Phase::Asked { link, .. } = pending.phase {
            out.push(Action::Send(link, Message::Cancel(pending.attempt())));
        }
    }

    fn remove(&mut self, request: RequestId) -> Option<PendingRequest> {
        let pending = self.requests.remove(&request)?;
        self.external_ids.remove(&pending.team, &pending.submission);
        Some(pending)
    }

    /// Sends the caller its final response: the backend server's own error if one was held back.
    fn fail(
        &mut self,
        now: Instant,
        request: RequestId,
        code: FailureCode,
        retry_after: Option<u32>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let verdict = pending.current_verdict();
        let kind = match code {
            FailureCode::AttemptFailed | FailureCode::DeadlinePassed => NoteKind::RequestFailed,
            _ => NoteKind::RequestRefused,
        };
        let cause = format!("{}, {}", code.as_str(), verdict.as_str());
        out.push(Action::Note(Box::new(pending.note(kind, cause))));
        if pending.error_held && code != FailureCode::Refused(RefusalCode::JobFailing) {
            out.push(Action::Relay(request));
        } else {
            let failure = Failure {
                code,
                verdict,
                retry_after,
            };
            out.push(Action::Fail(request, failure));
        }
        self.forget(now, request, Evidence::Failed, out);
    }
}
