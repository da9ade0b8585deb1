//! Time-outs of the gate.

use std::time::Instant;

use crate::gate::Action;
use crate::gate::FailureCode;
use crate::gate::core::Gate;
use crate::gate::core::RETRY_AFTER_MS;
use crate::gate::pending_request::PendingRequest;
use crate::wire::Evidence;

impl Gate {
    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.expire(now, out);
        self.give_up_unanswered(now, out);
        self.fail_stale(now, out);
        self.ask_again(now, out);
        self.cancelled.retry(now, out);
        for cancelled in self.cancelled.remove_expired(now) {
            let evidence = match cancelled.evidence {
                Evidence::Nothing => Evidence::Nothing,
                _ => Evidence::Unreachable,
            };
            self.release_cancelled(&cancelled, evidence, out);
        }
        if self.is_fresh(now) {
            out.extend(self.renewals());
        }
    }

    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        for request in self.select(|p| p.submission.deadline <= now) {
            let code = FailureCode::DeadlinePassed;
            self.fail(now, request, code, Some(RETRY_AFTER_MS), out);
        }
    }

    /// Cancels attempts that no longer run at their backend server and whose response did not
    /// arrive in time.
    pub(super) fn give_up_unanswered(&mut self, now: Instant, out: &mut Vec<Action>) {
        let expired = self.select(|p| {
            let abort_at = p.run().and_then(|run| run.abort_at);
            abort_at.is_some_and(|at| at <= now)
        });
        for request in expired {
            if let Some(run) = self.requests.get(&request).and_then(PendingRequest::run) {
                out.push(Action::AbortExchange(request, run.addr));
            }
            self.cancel_attempt(now, request, out);
        }
    }
}
