//! The decisions of a gate.

mod expiring;
mod placing;
mod running;
mod settling;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use crate::admit::admit;
use crate::gate::Action;
use crate::gate::Event;
use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::Submission;
use crate::gate::callers::Callers;
use crate::gate::closing::ClosingSet;
use crate::gate::links::Links;
use crate::gate::pending::Pending;
use crate::gate::pending::Phase;
use crate::gate::retry_budgets::RetryBudgets;
use crate::net::LinkId;
use crate::observe::NoteKind;
use crate::record::State;
use crate::wire::Evidence;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::RefusalCode;
use crate::wire::RequestId;

/// When to come back after the gate itself refused, in milliseconds.
const RETRY_MS: u32 = 500;

/// Time until a scheduler is asked again that could not say, in milliseconds.
const PAUSE_MS: u64 = 100;

/// State and events in, actions out.
#[derive(Debug, Default)]
pub struct Gate {
    /// This process; none in tests of a gate alone.
    me: Option<Peer>,
    state: Rc<State>,
    fresh: Option<Instant>,
    stopping: bool,
    links: Links,
    requests: HashMap<RequestId, Pending>,
    callers: Callers,
    closing: ClosingSet,
    budgets: RetryBudgets,
}
impl Gate {
    /// A gate that knows no state yet.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me: Some(me),
            ..Self::default()
        }
    }

    /// Takes an event in and adds what follows from it to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.update(now, state, out),
            Event::Fresh(until) => self.fresh = Some(until),
            Event::Up {
                link,
                node,
                incarnation,
            } => {
                self.links.add(node, link, incarnation);
                out.push(self.report(link));
                self.place_all(now, out);
            }
            Event::Down(link) => self.lose(now, link, out),
            Event::Submit(submission) => self.submit(now, submission, out),
            Event::Grant(link, grant) => self.grant(now, link, grant, out),
            Event::Refuse(link, refusal) => self.refuse(now, link, &refusal, out),
            Event::AttemptEnded(attempt, ended) => self.end(now, attempt, ended, out),
            Event::UnknownAttempts(attempts) => {
                attempts.iter().for_each(|a| self.doubt(now, a, out))
            }
            Event::CancelResult(attempt, settled) => self.settle(now, attempt, settled, out),
            Event::CallerGone(request) => self.forget(now, request, Evidence::Nothing, out),
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now, out),
        }
    }

    /// Requests that have no final answer yet, and attempts that have not surely ended.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.len() + self.closing.len()
    }

    /// Whether the gate takes requests.
    #[must_use]
    pub fn ready(&self, now: Instant) -> bool {
        !self.stopping && self.is_fresh(now) && !self.links.is_empty()
    }

    /// Whether it may start and keep work: its state is recent and shows no end of its membership.
    /// Others count the work of a gate that was ended as over once its task leases are.
    fn is_fresh(&self, now: Instant) -> bool {
        let ended = |me: &Peer| self.state.is_ended(&me.node, me.incarnation);
        self.fresh.is_some_and(|until| now < until) && !self.me.as_ref().is_some_and(ended)
    }

    fn update(&mut self, now: Instant, state: Rc<State>, out: &mut Vec<Action>) {
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
            let failure = Failure::refused(RefusalCode::StateNotFresh, RETRY_MS);
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
        if !self.callers.add(&admission.team, &submission) {
            out.push(Action::Fail(request, Failure::in_progress(RETRY_MS)));
            return;
        }
        self.budgets.deposit(&submission.service);
        let urgent = submission.urgent && admission.urgent;
        let pending = Pending::new(submission, admission.team, urgent, now);
        self.requests.insert(request, pending);
        self.place_one(now, request, out);
    }

    /// Requests for which `wanted` holds, in the order of their identities.
    fn select(&self, wanted: impl Fn(&Pending) -> bool) -> Vec<RequestId> {
        let held = self.requests.values().filter(|p| wanted(p));
        let mut requests: Vec<RequestId> = held.map(|p| p.submission.request).collect();
        requests.sort_unstable();
        requests
    }

    /// Drops a request that needs no further answer and frees its place.
    fn forget(
        &mut self,
        now: Instant,
        request: RequestId,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        if let Some(closing) = self.closing_of(request, evidence) {
            self.closing.add(now, closing, out);
        }
        let Some(pending) = self.remove(request) else {
            return;
        };
        if let Phase::Asked { link, .. } = pending.phase {
            out.push(Action::Send(link, Message::Cancel(pending.attempt())));
        }
    }

    fn remove(&mut self, request: RequestId) -> Option<Pending> {
        let pending = self.requests.remove(&request)?;
        self.callers.remove(&pending.team, &pending.submission);
        Some(pending)
    }

    /// Gives the caller its final answer: the backend server's own error if there is one.
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
        let execution = pending.verdict_now();
        let kind = match code {
            FailureCode::AttemptFailed | FailureCode::DeadlinePassed => NoteKind::RequestFailed,
            _ => NoteKind::RequestRefused,
        };
        let cause = format!("{}, {}", code.as_str(), execution.as_str());
        out.push(Action::Note(Box::new(pending.note(kind, cause))));
        if pending.held && code != FailureCode::Refused(RefusalCode::JobFailing) {
            out.push(Action::Relay(request));
        } else {
            let failure = Failure {
                code,
                execution,
                retry_after,
            };
            out.push(Action::Fail(request, failure));
        }
        self.forget(now, request, Evidence::Failed, out);
    }
}
