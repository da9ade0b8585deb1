//! What is derived from the state of one job to schedule it.

use crate::batch::JobProgress;
use crate::batch::Objective;
use crate::batch::Partitions;
use crate::batch::Queue;
use crate::batch::Resources;
use crate::batch::candidate::Candidate;
use crate::batch::rank::Rank;
use crate::batch::service_load::JOB_LIMIT;
use crate::batch::service_load::JobLoad;
use crate::name::QueueName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::unseen::UnseenDemand;

/// A job as the backlog sees it; valid until the job changes or until `expires`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BacklogEntry {
    /// Service whose executors run its tasks.
    pub service: ServiceName,
    /// Queue that it was submitted to.
    pub queue: QueueName,
    /// Priority of the queue; lower numbers are served first.
    pub priority: u32,
    /// Its place among the jobs with tasks to start; `None` if it has none or may not start any.
    pub candidate: Option<Candidate>,
    /// Its team, if that has a limit.
    pub limited: Option<TeamName>,
    /// Least of each resource that a task to start needs.
    pub least_demand: Resources,
    /// Least of each resource that a task to start reserves.
    pub least_reserved: Resources,
    /// It has tasks to start that wait for executors with unknown runs.
    pub blocked: bool,
    /// None of its tasks has started.
    pub waiting: bool,
    /// It may have runs of an earlier owner.
    pub inherited: bool,
    /// What it adds to the load of its service.
    pub load: JobLoad,
    /// Demand of its tasks that earlier owners may have started on executors that haven't reported
    /// yet, and the team whose limit it counts against.
    pub unseen: Option<(TeamName, UnseenDemand)>,
    /// When its rank changes by the time alone, in Unix milliseconds.
    pub expires: Option<u64>,
}

impl BacklogEntry {
    /// Returns the entry of a job of `queue` at `unix` (in milliseconds), with executors with
    /// unknown runs in these partitions and no host above `largest`; `None` if nothing of the job
    /// matters any more. `limited` tells whether its team has a limit.
    #[must_use]
    pub fn of(
        job_progress: &JobProgress,
        queue: Option<&Queue>,
        limited: bool,
        unknown: Partitions,
        largest: &Resources,
        unix: u64,
    ) -> Option<Self> {
        let job = &job_progress.job;
        let active = job_progress.is_active();
        let unseen_runs = job_progress.may_run_unseen(unknown);
        if !active && !unseen_runs {
            return None;
        }
        let objective = Objective::of(job, queue);
        let rank = Rank::of(job_progress, queue, &objective, unix);
        let remaining = job_progress.remaining();
        let ready = active && !remaining.ready.is_empty();
        let startable = ready && !unseen_runs && !job_progress.partitions.is_empty();
        let load = if active {
            JobLoad::of(job_progress, rank.is_too_late(), unseen_runs, largest)
        } else {
            JobLoad::default()
        };
        let unseen = job.team.clone().filter(|_| unseen_runs);
        let unseen = unseen.map(|team| (team, unplaced(job_progress)));
        Some(Self {
            service: job.service.clone(),
            queue: job.queue.clone(),
            priority: queue.map_or(0, |queue| queue.priority),
            candidate: startable.then(|| Candidate::of(job_progress, rank)),
            limited: job.team.clone().filter(|_| limited),
            least_demand: remaining.least_demand,
            least_reserved: remaining.least_reserved,
            blocked: ready && unseen_runs,
            waiting: active && !job_progress.started,
            inherited: !job_progress.inherited.is_empty(),
            load,
            unseen: unseen.filter(|(_, demand)| *demand != UnseenDemand::default()),
            expires: Rank::expiry(job_progress, &objective, unix).filter(|_| active),
        })
    }
}

/// Returns the demand of a job's tasks that are neither done nor known to run, at most
/// [`JOB_LIMIT`].
fn unplaced(job_progress: &JobProgress) -> UnseenDemand {
    let mut demand = UnseenDemand::default();
    for steps in job_progress.occurrences.values() {
        for (progress, step) in steps.iter().zip(&job_progress.job.steps) {
            let idle = progress.tasks.iter().filter(|task| task.is_idle());
            let count = idle.count() as u64;
            let needed = step.demand.times(count);
            demand.add(&UnseenDemand::new(needed, step.reserved().times(count)));
        }
    }
    demand.min(&JOB_LIMIT)
}
