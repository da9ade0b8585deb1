//! The order in which the jobs of all services are served.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::candidate::Candidate;
use crate::batch::turns::Position;
use crate::name::ServiceName;

impl Dispatcher {
    /// Returns the active jobs with tasks to start, by service, in the order in which to serve them.
    pub(super) fn ranked_jobs(&self, now: Now) -> BTreeMap<ServiceName, VecDeque<Position>> {
        let policy = self.directives.policy.as_ref();
        let jobs = self.active.iter().filter_map(|id| self.state.jobs.get(id));
        let jobs = jobs.filter(|entry| !entry.remaining().ready.is_empty());
        let mut services: BTreeMap<&ServiceName, Vec<Candidate>> = BTreeMap::new();
        for entry in jobs {
            let queue = policy.and_then(|policy| policy.queue_named(&entry.job.queue));
            let candidate = Candidate::of(entry, queue, now.unix);
            services
                .entry(&entry.job.service)
                .or_default()
                .push(candidate);
        }
        let ranked = services.into_iter().map(|(service, jobs)| {
            let positions = self.turns.positions(service, jobs);
            (service.clone(), VecDeque::from(positions))
        });
        ranked.collect()
    }

    /// Removes and returns the next job to serve: one of the service with the fewest unanswered
    /// starts. Services have no executors in common, so the limit on these starts must not be used
    /// up by the jobs of one, whatever their rank.
    pub(super) fn next_job(
        &self,
        ranked: &mut BTreeMap<ServiceName, VecDeque<Position>>,
    ) -> Option<JobId> {
        let heads = ranked.iter_mut().filter_map(|(service, positions)| {
            let head = *positions.front()?;
            Some((self.starts.of(service), head, positions))
        });
        let next = heads.min_by_key(|(starts, head, _)| (*starts, *head));
        next.and_then(|(_, _, positions)| positions.pop_front())
            .map(|position| position.id)
    }
}
