//! What is left to do of a job.

use crate::batch::JobProgress;
use crate::batch::step_progress::StepProgress;

/// What is left to do of a job, as long as nothing of it changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemainingWork {
    /// The steps, by occurrence, that wait for none and have tasks to start.
    pub ready: Vec<(u32, u32)>,
    /// Time that the longest chain of steps that are left takes, in milliseconds.
    pub critical_path: u64,
    /// Work that is left, in core-milliseconds.
    pub work: u64,
}

impl RemainingWork {
    /// What is left of a job.
    #[must_use]
    pub fn of(entry: &JobProgress) -> Self {
        let (critical_path, work) = left(entry);
        Self {
            ready: ready(entry),
            critical_path,
            work,
        }
    }
}

fn ready(entry: &JobProgress) -> Vec<(u32, u32)> {
    let mut found = Vec::new();
    for (&occurrence, stages) in &entry.occurrences {
        for (number, step) in entry.job.steps.iter().enumerate() {
            let done = |&before: &u32| {
                stages
                    .get(before as usize)
                    .is_none_or(StepProgress::is_done)
            };
            if stages[number].has_idle() && step.after.iter().all(done) {
                found.push((occurrence, number as u32));
            }
        }
    }
    found
}

/// Time of the chain that is left, in milliseconds, and the work, in core-milliseconds.
fn left(entry: &JobProgress) -> (u64, u64) {
    let mut critical_path = 0;
    let mut work = 0;
    for stages in entry.occurrences.values() {
        let mut ends = Vec::with_capacity(stages.len());
        for (stage, step) in stages.iter().zip(&entry.job.steps) {
            let before = step.after.iter().filter_map(|&n| ends.get(n as usize));
            let start = before.max().copied().unwrap_or(0);
            let count = stage.tasks.len() as u64 - u64::from(stage.done);
            let own = if count == 0 { 0 } else { step.estimate };
            ends.push(start + own);
            work += count * step.estimate * step.demand.cpu.max(1) / 1_000;
        }
        critical_path = critical_path.max(ends.into_iter().max().unwrap_or(0));
    }
    (critical_path, work)
}
