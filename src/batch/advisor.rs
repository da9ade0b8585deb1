//! Advice on where steps may run, as received from the advice service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Advice;
use crate::batch::Consult;
use crate::batch::JobId;
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
/// Time before the service is asked again about a step after a request that failed, in milliseconds.
const RETRY_MS: u64 = 500;

/// Permission to run the tasks of a step on an executor.
#[derive(Debug)]
struct Ticket {
    text: Arc<str>,
    expires: Instant,
}

/// What the service has said of one step.
#[derive(Debug, Default)]
struct StepAdvice {
    /// The executors asked about. Those without a ticket may not run the step, which doesn't change.
    asked: BTreeMap<ExecutorId, Option<Ticket>>,
    pending: bool,
    /// No request before this time, after one that failed.
    retry_at: Option<Instant>,
    /// An executor refused a task of the step for want of a ticket.
    required: bool,
}

impl StepAdvice {
    /// Selects the executors to ask about: those that may run the step but whose tickets have
    /// expired, or else those that were not asked about.
    fn select<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = &'a ExecutorId>,
    ) -> Vec<ExecutorId> {
        let mut expired = Vec::new();
        let mut unknown = Vec::new();
        for id in candidates {
            match self.asked.get(id) {
                Some(Some(ticket)) if ticket.expires <= now => expired.push(id),
                Some(_) => {}
                None => unknown.push(id),
            }
        }
        let selected = if expired.is_empty() { unknown } else { expired };
        selected.into_iter().take(EXECUTOR_LIMIT).cloned().collect()
    }
}

/// Advice received so far, and the requests that are pending.
#[derive(Debug, Default)]
pub struct Advisor {
    steps: BTreeMap<StepId, StepAdvice>,
    pending: usize,
    requests: Vec<Consult>,
}

impl Advisor {
    /// Whether an executor has refused a task of the step for want of a ticket.
    #[must_use]
    pub fn is_required(&self, step: &StepId) -> bool {
        self.steps.get(step).is_some_and(|advice| advice.required)
    }

    /// Executors that may run a step, whether or not their tickets have expired; `None` if there is no
    /// advice on it.
    #[must_use]
    pub fn permitted(&self, step: &StepId) -> Option<BTreeSet<ExecutorId>> {
        let asked = &self.steps.get(step)?.asked;
        (!asked.is_empty()).then(|| self.collect(step, |_| true))
    }

    /// Executors that may run a step and have a valid ticket for it.
    #[must_use]
    pub fn ticketed(&self, now: Instant, step: &StepId) -> BTreeSet<ExecutorId> {
        self.collect(step, |ticket| now < ticket.expires)
    }

    fn collect(&self, step: &StepId, is_wanted: impl Fn(&Ticket) -> bool) -> BTreeSet<ExecutorId> {
        let asked = self.steps.get(step).into_iter();
        let asked = asked.flat_map(|advice| &advice.asked);
        let wanted = asked.filter(|(_, ticket)| ticket.as_ref().is_some_and(&is_wanted));
        wanted.map(|(id, _)| id.clone()).collect()
    }

    /// Valid ticket for a step on an executor, if there is one.
    #[must_use]
    pub fn ticket(&self, now: Instant, step: &StepId, executor: &ExecutorId) -> Option<Arc<str>> {
        let ticket = self.steps.get(step)?.asked.get(executor)?.as_ref()?;
        (now < ticket.expires).then(|| ticket.text.clone())
    }

    /// Has the service asked about a step that lacks executors, as far as requests may be sent now.
    /// `candidates` are executors that could run its next task. Returns whether the advice on some of
    /// them is outstanding. All of them are asked about in turn, whatever their number.
    pub fn consult<'a>(
        &mut self,
        now: Instant,
        step: StepId,
        candidates: impl Iterator<Item = &'a ExecutorId>,
    ) -> bool {
        let advice = self.steps.entry(step).or_default();
        if advice.pending {
            return true;
        }
        let executors = advice.select(now, candidates);
        if executors.is_empty() {
            return false;
        }
        let paused = advice.retry_at.is_some_and(|at| now < at);
        if !paused && self.pending < PENDING_LIMIT {
            advice.pending = true;
            self.pending += 1;
            self.requests.push(Consult { step, executors });
        }
        true
    }

    /// Returns the requests to send.
    pub fn take_requests(&mut self) -> Vec<Consult> {
        std::mem::take(&mut self.requests)
    }

    /// Applies the answer to a request.
    pub fn on_answer(
        &mut self,
        now: Instant,
        request: &Consult,
        result: Result<Advice, OrderError>,
    ) {
        self.pending = self.pending.saturating_sub(1);
        let Some(advice) = self.steps.get_mut(&request.step) else {
            return;
        };
        advice.pending = false;
        let Ok(mut answer) = result else {
            advice.retry_at = Some(now + Duration::from_millis(RETRY_MS));
            return;
        };
        let margin = MARGIN_MS.min(answer.validity / 2);
        let expires = now + Duration::from_millis(answer.validity - margin);
        for id in &request.executors {
            let text = answer.tickets.remove(id);
            let ticket = text.map(|text| Ticket { text, expires });
            advice.asked.insert(id.clone(), ticket);
        }
    }

    /// Notes that an executor refused a task of a step for want of a valid ticket: the service is
    /// asked about it again.
    pub fn on_refused(&mut self, step: StepId, executor: &ExecutorId) {
        let advice = self.steps.entry(step).or_default();
        advice.required = true;
        advice.asked.remove(executor);
    }

    /// Drops the advice on an executor that has restarted, whose tickets are void.
    pub fn forget_executor(&mut self, executor: &ExecutorId) {
        for advice in self.steps.values_mut() {
            advice.asked.remove(executor);
        }
    }

    /// Drops the advice on the steps of an occurrence that has ended.
    pub fn forget_occurrence(&mut self, job: JobId, occurrence: u32) {
        self.forget(job, occurrence..=occurrence);
    }

    /// Drops the advice on the steps of a job that has ended.
    pub fn forget_job(&mut self, job: JobId) {
        self.forget(job, 0..=u32::MAX);
    }

    fn forget(&mut self, job: JobId, occurrences: RangeInclusive<u32>) {
        let step_id = |&occurrence: &u32, step| StepId {
            job,
            occurrence,
            step,
        };
        let first = step_id(occurrences.start(), 0);
        let last = step_id(occurrences.end(), u32::MAX);
        let ended: Vec<StepId> = self
            .steps
            .range(first..=last)
            .map(|(step, _)| *step)
            .collect();
        for step in ended {
            self.steps.remove(&step);
        }
    }
}
