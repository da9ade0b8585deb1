//! Assignment of requests to schedulers.

use std::time::Duration;
use std::time::Instant;

use crate::gate::Action;
use crate::gate::FailureCode;
use crate::gate::core::ASK_RETRY_MS;
use crate::gate::core::Gate;
use crate::gate::core::RETRY_AFTER_MS;
use crate::gate::pending_request::PendingRequest;
use crate::gate::pending_request::Phase;
use crate::net::LinkId;
use crate::wire::Message;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::RequestId;
use crate::wire::Running;

/// Time after which a scheduler that did not reply is asked again, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 2_000;
/// Time for which requests keep waiting once the state is no longer fresh, in milliseconds.
const MAX_STALE_MS: u64 = 1_000;

impl Gate {
    /// Asks the owner of the request's service for a slot, if it is connected.
    pub(super) fn place_one(&mut self, now: Instant, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let owner = self.links.owner(&self.state, &pending.submission.service);
        if let Some(link) = owner {
            let retry_at = now + Duration::from_millis(ASK_TIMEOUT_MS);
            pending.phase = Phase::Asked { link, retry_at };
            out.push(Action::Send(link, Message::SlotRequest(pending.ask(now))));
        }
    }

    /// Asks the current owner for every request that waits at no scheduler or at an earlier owner.
    pub(super) fn place_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let owner = |p: &PendingRequest| self.links.owner(&self.state, &p.submission.service);
        let misplaced = self.select(|pending| match &pending.phase {
            Phase::Unplaced { .. } => owner(pending).is_some(),
            Phase::Asked { link, .. } => owner(pending).is_some_and(|owner| owner != *link),
            Phase::Running(_) | Phase::Cancelling => false,
        });
        for request in misplaced {
            self.cancel_ask(now, request, out);
            self.place_one(now, request, out);
        }
    }

    /// Cancels the request for a slot. The attempt number increases, so that a late reply is
    /// ignored.
    pub(super) fn cancel_ask(
        &mut self,
        retry_at: Instant,
        request: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if let Phase::Asked { link, .. } = pending.phase {
            out.push(Action::Send(link, Message::Cancel(pending.attempt())));
        }
        pending.attempt_number += 1;
        pending.phase = Phase::Unplaced { retry_at };
    }

    pub(super) fn handle_link_down(&mut self, now: Instant, link: LinkId, out: &mut Vec<Action>) {
        self.links.remove(link);
        for pending in self.requests.values_mut() {
            if matches!(pending.phase, Phase::Asked { link: asked, .. } if asked == link) {
                pending.attempt_number += 1;
                pending.phase = Phase::Unplaced { retry_at: now };
            }
        }
        self.place_all(now, out);
    }

    pub(super) fn handle_refusal(
        &mut self,
        now: Instant,
        link: LinkId,
        refusal: &Refusal,
        out: &mut Vec<Action>,
    ) {
        let request = refusal.attempt.request;
        if !self.is_waiting_at(link, &refusal.attempt) {
            return;
        }
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let retry_at = now + Duration::from_millis(ASK_RETRY_MS);
        pending.phase = Phase::Unplaced { retry_at };
        if refusal.code != RefusalCode::Unavailable {
            let code = FailureCode::Refused(refusal.code);
            self.fail(now, request, code, Some(refusal.retry_after), out);
            return;
        }
        pending.attempt_number += 1;
        let owner = self.links.owner(&self.state, &pending.submission.service);
        if owner != Some(link) {
            self.place_one(now, request, out);
        }
    }

    pub(super) fn fail_stale(&mut self, now: Instant, out: &mut Vec<Action>) {
        let limit = Duration::from_millis(MAX_STALE_MS);
        if self.fresh_until.is_some_and(|until| now < until + limit) {
            return;
        }
        let waiting =
            |p: &PendingRequest| matches!(p.phase, Phase::Unplaced { .. } | Phase::Asked { .. });
        for request in self.select(waiting) {
            let code = FailureCode::Refused(RefusalCode::StateNotFresh);
            self.fail(now, request, code, Some(RETRY_AFTER_MS), out);
        }
    }

    /// Asks for slots for all requests whose retry time has come.
    pub(super) fn ask_again(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.select(|p| match p.phase {
            Phase::Unplaced { retry_at } | Phase::Asked { retry_at, .. } => retry_at <= now,
            Phase::Running(_) | Phase::Cancelling => false,
        });
        for request in due {
            self.place_one(now, request, out);
        }
    }

    /// Reports all running attempts to a scheduler. From then on, the end of each of them is sent
    /// to every scheduler.
    pub(super) fn report(&mut self, link: LinkId) -> Action {
        for pending in self.requests.values_mut() {
            pending.reported = true;
        }
        self.cancelled.mark_reported();
        let runs = self.requests.values().filter_map(PendingRequest::running);
        let running: Vec<Running> = runs.chain(self.cancelled.reports()).collect();
        let epoch = self.state.epoch;
        Action::Send(link, Message::Report { epoch, running })
    }
}
