//! Remaining work of a job.

use crate::batch::JobProgress;
use crate::batch::Resources;
use crate::batch::Step;
use crate::batch::step_progress::StepProgress;

/// Remaining work of a job, valid until the job's state changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemainingWork {
    /// Pairs of occurrence and step that have tasks to start and no unfinished dependency.
    pub ready: Vec<(u32, u32)>,
    /// Duration of the longest chain of remaining steps by their estimates, in milliseconds.
    pub critical_path: u64,
    /// Remaining work by the estimates, in core-milliseconds.
    pub work: u64,
    /// Least of each resource that a task to start needs.
    pub least_demand: Resources,
    /// Least of each resource that a task to start reserves. Nothing if a task is long-running: it
    /// is examined even if no executor has room, as hosts are moved to its pool.
    pub least_reserved: Resources,
}

impl RemainingWork {
    /// Computes the remaining work of a job.
    #[must_use]
    pub fn of(job_progress: &JobProgress) -> Self {
        let (critical_path, work) = estimate(job_progress);
        let ready = ready_steps(job_progress);
        Self {
            least_demand: least(job_progress, &ready, |step| step.demand),
            least_reserved: least(job_progress, &ready, needed_room),
            ready,
            critical_path,
            work,
        }
    }
}

/// Returns the least of each resource among the amounts of these steps.
fn least(
    job_progress: &JobProgress,
    steps: &[(u32, u32)],
    amount: impl Fn(&Step) -> Resources,
) -> Resources {
    let steps = steps
        .iter()
        .filter_map(|&(_, number)| job_progress.job.steps.get(number as usize));
    let least = steps.map(amount).reduce(|one, other| one.min(&other));
    least.unwrap_or_default()
}

/// Returns the resources without which a task of a step isn't examined.
fn needed_room(step: &Step) -> Resources {
    if step.long_running {
        Resources::default()
    } else {
        step.reserved()
    }
}

fn ready_steps(job_progress: &JobProgress) -> Vec<(u32, u32)> {
    let mut found = Vec::new();
    for (&occurrence, progress) in &job_progress.occurrences {
        for (number, step) in job_progress.job.steps.iter().enumerate() {
            let done = |&before: &u32| {
                progress
                    .get(before as usize)
                    .is_none_or(StepProgress::is_done)
            };
            if progress[number].has_idle() && step.after.iter().all(done) {
                found.push((occurrence, number as u32));
            }
        }
    }
    found
}

/// Duration of the critical path, in milliseconds, and the work, in core-milliseconds.
fn estimate(job_progress: &JobProgress) -> (u64, u64) {
    let mut critical_path = 0_u64;
    let mut work = 0_u64;
    for progress in job_progress.occurrences.values() {
        let mut ends: Vec<u64> = Vec::with_capacity(progress.len());
        for (step_progress, step) in progress.iter().zip(&job_progress.job.steps) {
            let before = step.after.iter().filter_map(|&n| ends.get(n as usize));
            let start = before.max().copied().unwrap_or(0);
            let count = step_progress.tasks.len() as u32 - step_progress.done;
            let own = if count == 0 { 0 } else { step.estimate };
            ends.push(start.saturating_add(own));
            work = work.saturating_add(step.work(count));
        }
        critical_path = critical_path.max(ends.into_iter().max().unwrap_or(0));
    }
    (critical_path, work)
}
