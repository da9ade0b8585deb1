//! What a gate does as time passes.

use std::time::Instant;

use crate::gate::Action;
use crate::gate::FailureCode;
use crate::gate::core::Gate;
use crate::gate::core::RETRY_MS;
use crate::gate::pending::Pending;
use crate::wire::Evidence;

impl Gate {
    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.expire(now, out);
        self.drop_doubted(now, out);
        self.refuse_stale(now, out);
        self.ask_again(now, out);
        self.closing.repeat(now, out);
        for closing in self.closing.remove_lapsed(now) {
            let evidence = match closing.evidence {
                Evidence::Nothing => Evidence::Nothing,
                _ => Evidence::Unreachable,
            };
            self.release_closing(&closing, evidence, out);
        }
        if self.is_fresh(now) {
            out.extend(self.renewals());
        }
    }

    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        for request in self.select(|p| p.submission.deadline <= now) {
            let code = FailureCode::DeadlinePassed;
            self.fail(now, request, code, Some(RETRY_MS), out);
        }
    }

    /// Gives up attempts that have ended at their backend server and sent no answer.
    pub(super) fn drop_doubted(&mut self, now: Instant, out: &mut Vec<Action>) {
        let doubted = self.select(|p| {
            let doubt = p.run().and_then(|run| run.doubt);
            doubt.is_some_and(|until| until <= now)
        });
        for request in doubted {
            if let Some(run) = self.requests.get(&request).and_then(Pending::run) {
                out.push(Action::AbortExchange(request, run.addr));
            }
            self.give_up(now, request, out);
        }
    }
}
