//! Advice on where steps may run, as received from the advice service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Advice;
use crate::batch::Consult;
use crate::batch::OrderError;
use crate::batch::StepId;
use crate::name::ExecutorId;

/// Maximum number of executors in one request.
const EXECUTOR_LIMIT: usize = 30;
/// Maximum number of pending requests; the service handles one at a time and refuses requests when
/// many are queued.
const PENDING_LIMIT: usize = 8;
/// Time before a ticket expires at which it is no longer used, in milliseconds.
const MARGIN_MS: u64 = 300;
/// Time before the service is asked again about a step that no executor may run, in milliseconds.
const RETRY_MS: u64 = 500;

/// Tickets that permit a step to run, by executor.
pub type Tickets = BTreeMap<ExecutorId, Arc<str>>;

/// Advice on one step, valid for a limited time.
#[derive(Debug)]
struct StepAdvice {
    tickets: Tickets,
    expires: Instant,
}

/// Advice received so far, and the requests that are pending.
#[derive(Debug, Default)]
pub struct Advisor {
    known: BTreeMap<StepId, StepAdvice>,
    pending: BTreeMap<StepId, ()>,
}

impl Advisor {
    /// Whether there is valid advice on a step.
    #[must_use]
    pub fn has(&self, now: Instant, step: &StepId) -> bool {
        self.known
            .get(step)
            .is_some_and(|known| now < known.expires)
    }

    /// Executors that may run a step, with their tickets; `None` if there is no advice on it. The
    /// advice may have expired.
    #[must_use]
    pub fn tickets(&self, step: &StepId) -> Option<&Tickets> {
        self.known.get(step).map(|known| &known.tickets)
    }

    /// Valid ticket for a step on an executor, if there is one.
    #[must_use]
    pub fn ticket(&self, now: Instant, step: &StepId, executor: &ExecutorId) -> Option<Arc<str>> {
        let known = self.known.get(step).filter(|known| now < known.expires)?;
        known.tickets.get(executor).cloned()
    }

    /// Returns the request to send for a step. `None` if one is pending for the step, too many are
    /// pending or there is no executor to ask for.
    pub fn request(
        &mut self,
        now: Instant,
        step: StepId,
        mut executors: Vec<ExecutorId>,
    ) -> Option<Consult> {
        self.known.retain(|_, known| now < known.expires);
        let busy = self.pending.len() >= PENDING_LIMIT || self.pending.contains_key(&step);
        if busy || executors.is_empty() {
            return None;
        }
        executors.truncate(EXECUTOR_LIMIT);
        self.pending.insert(step, ());
        Some(Consult { step, executors })
    }

    /// Stores the advice of an answer; a failed request only ends being pending.
    pub fn on_answer(
        &mut self,
        now: Instant,
        request: &Consult,
        result: Result<Advice, OrderError>,
    ) {
        self.pending.remove(&request.step);
        let Ok(advice) = result else {
            return;
        };
        let validity = if advice.tickets.is_empty() {
            RETRY_MS
        } else {
            advice.validity.saturating_sub(MARGIN_MS)
        };
        let known = StepAdvice {
            tickets: advice.tickets,
            expires: now + Duration::from_millis(validity),
        };
        self.known.insert(request.step, known);
    }

    /// Drops the advice on a step, after an executor refused its ticket.
    pub fn forget(&mut self, step: &StepId) {
        self.known.remove(step);
    }
}
