//! What the advice service has said of steps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Advice;
use crate::batch::Consult;
use crate::batch::OrderError;
use crate::batch::StepId;
use crate::name::ExecutorId;

/// Most executors that are asked for at once.
const ASK_LIMIT: usize = 30;
/// Most questions on their way; the service takes one at a time and refuses when many wait.
const PENDING_LIMIT: usize = 8;
/// Time before a ticket's end from which on it isn't used any more, in milliseconds.
const MARGIN_MS: u64 = 300;
/// Time between two questions for a step for which no executor was good, in milliseconds.
const RETRY_MS: u64 = 500;

/// Executors that may run a step, with their tickets.
pub type Tickets = BTreeMap<ExecutorId, Arc<str>>;

/// Advice on one step.
#[derive(Debug)]
struct Known {
    good: Tickets,
    until: Instant,
}

/// Advice on all steps that need it.
#[derive(Debug, Default)]
pub struct Advisor {
    known: BTreeMap<StepId, Known>,
    pending: BTreeMap<StepId, ()>,
}

impl Advisor {
    /// Whether there is advice on a step that is still good.
    #[must_use]
    pub fn has(&self, now: Instant, step: &StepId) -> bool {
        self.known.get(step).is_some_and(|known| now < known.until)
    }

    /// The executors that may run a step; `None` where no advice was asked for.
    #[must_use]
    pub fn tickets(&self, step: &StepId) -> Option<&Tickets> {
        self.known.get(step).map(|known| &known.good)
    }

    /// The ticket for a step on an executor.
    #[must_use]
    pub fn ticket(&self, now: Instant, step: &StepId, executor: &ExecutorId) -> Option<Arc<str>> {
        let known = self.known.get(step).filter(|known| now < known.until)?;
        known.good.get(executor).cloned()
    }

    /// The question to ask for a step now, if any.
    pub fn ask(
        &mut self,
        now: Instant,
        step: StepId,
        mut executors: Vec<ExecutorId>,
    ) -> Option<Consult> {
        self.known.retain(|_, known| now < known.until);
        let busy = self.pending.len() >= PENDING_LIMIT || self.pending.contains_key(&step);
        if busy || executors.is_empty() {
            return None;
        }
        executors.truncate(ASK_LIMIT);
        self.pending.insert(step, ());
        Some(Consult { step, executors })
    }

    /// Takes an answer, or notes that there was none.
    pub fn answered(
        &mut self,
        now: Instant,
        question: &Consult,
        result: Result<Advice, OrderError>,
    ) {
        self.pending.remove(&question.step);
        let Ok(advice) = result else {
            return;
        };
        let validity = if advice.good.is_empty() {
            RETRY_MS
        } else {
            advice.validity.saturating_sub(MARGIN_MS)
        };
        let known = Known {
            good: advice.good,
            until: now + Duration::from_millis(validity),
        };
        self.known.insert(question.step, known);
    }

    /// Forgets the advice on a step, because a ticket was refused.
    pub fn forget(&mut self, step: &StepId) {
        self.known.remove(step);
    }
}
