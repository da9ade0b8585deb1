//! Which scheduler a request waits at.

use std::time::Duration;
use std::time::Instant;

use crate::gate::Action;
use crate::gate::FailureCode;
use crate::gate::core::Gate;
use crate::gate::core::PAUSE_MS;
use crate::gate::core::RETRY_MS;
use crate::gate::pending::Pending;
use crate::gate::pending::Phase;
use crate::net::LinkId;
use crate::wire::Message;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::RequestId;
use crate::wire::Running;

/// Time until a scheduler is asked again that said nothing, in milliseconds.
const REPEAT_MS: u64 = 2_000;
/// Longest that requests wait for a state known to be recent, in milliseconds.
const STALE_MS: u64 = 1_000;

impl Gate {
    /// Asks the scheduler of the request's service, if it is connected.
    pub(super) fn place_one(&mut self, now: Instant, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let owner = self.links.owner(&self.state, &pending.submission.service);
        if let Some(link) = owner {
            let again = now + Duration::from_millis(REPEAT_MS);
            pending.phase = Phase::Asked { link, again };
            out.push(Action::Send(link, Message::SlotRequest(pending.ask(now))));
        }
    }

    /// Asks again for every request whose scheduler is no longer the one in charge.
    pub(super) fn place_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let owner = |p: &Pending| self.links.owner(&self.state, &p.submission.service);
        let misplaced = self.select(|pending| match &pending.phase {
            Phase::Unplaced { .. } => owner(pending).is_some(),
            Phase::Asked { link, .. } => owner(pending).is_some_and(|owner| owner != *link),
            Phase::Running(_) | Phase::Settling => false,
        });
        for request in misplaced {
            self.withdraw(now, request, out);
            self.place_one(now, request, out);
        }
    }

    /// Takes back what a scheduler was asked, so that its answer no longer counts.
    pub(super) fn withdraw(&mut self, again: Instant, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if let Phase::Asked { link, .. } = pending.phase {
            out.push(Action::Send(link, Message::Cancel(pending.attempt())));
        }
        pending.number += 1;
        pending.phase = Phase::Unplaced { again };
    }

    pub(super) fn lose(&mut self, now: Instant, link: LinkId, out: &mut Vec<Action>) {
        self.links.remove(link);
        for pending in self.requests.values_mut() {
            if matches!(pending.phase, Phase::Asked { link: asked, .. } if asked == link) {
                pending.number += 1;
                pending.phase = Phase::Unplaced { again: now };
            }
        }
        self.place_all(now, out);
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        link: LinkId,
        refusal: &Refusal,
        out: &mut Vec<Action>,
    ) {
        let request = refusal.attempt.request;
        if !self.is_asked(link, &refusal.attempt) {
            return;
        }
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let again = now + Duration::from_millis(PAUSE_MS);
        pending.phase = Phase::Unplaced { again };
        if refusal.code != RefusalCode::Unavailable {
            let code = FailureCode::Refused(refusal.code);
            self.fail(now, request, code, Some(refusal.retry_after), out);
            return;
        }
        pending.number += 1;
        let owner = self.links.owner(&self.state, &pending.submission.service);
        if owner != Some(link) {
            self.place_one(now, request, out);
        }
    }

    pub(super) fn refuse_stale(&mut self, now: Instant, out: &mut Vec<Action>) {
        let limit = Duration::from_millis(STALE_MS);
        if self.fresh.is_some_and(|until| now < until + limit) {
            return;
        }
        let waiting = |p: &Pending| matches!(p.phase, Phase::Unplaced { .. } | Phase::Asked { .. });
        for request in self.select(waiting) {
            let code = FailureCode::Refused(RefusalCode::StateNotFresh);
            self.fail(now, request, code, Some(RETRY_MS), out);
        }
    }

    /// Asks for requests whose pause is over, and repeats questions that got no answer.
    pub(super) fn ask_again(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.select(|p| match p.phase {
            Phase::Unplaced { again } | Phase::Asked { again, .. } => again <= now,
            Phase::Running(_) | Phase::Settling => false,
        });
        for request in due {
            self.place_one(now, request, out);
        }
    }

    /// Tells a scheduler what runs; the ends of all that is said go to every scheduler.
    pub(super) fn report(&mut self, link: LinkId) -> Action {
        for pending in self.requests.values_mut() {
            pending.reported = true;
        }
        self.closing.mark_reported();
        let runs = self.requests.values().filter_map(Pending::running);
        let running: Vec<Running> = runs.chain(self.closing.reports()).collect();
        let epoch = self.state.epoch;
        Action::Send(link, Message::Report { epoch, running })
    }
}
