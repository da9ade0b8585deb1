//! All jobs, as folded from the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::batch::Fence;
use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::ServiceName;

/// Most cancellations that are kept for jobs not seen yet.
const REVOKED_LIMIT: usize = 2_000;

/// Jobs, and executors on which something may run.
#[derive(Debug, Default)]
pub struct BatchState {
    /// Jobs by their id.
    pub jobs: BTreeMap<JobId, JobProgress>,
    /// Executors that may have been given work.
    pub assigned: BTreeMap<ExecutorId, (ServiceName, SocketAddr)>,
    /// For how long no owner has given anything to executors that owners did not hear from, in
    /// milliseconds.
    pub unresponsive: BTreeMap<ExecutorId, u64>,
    /// When hosts were last ordered down or elsewhere, in Unix milliseconds.
    pub ordered: BTreeMap<HostName, u64>,
    /// Hosts that have had their upkeep, by wave.
    pub maintained: BTreeMap<u64, BTreeSet<HostName>>,
    /// When waves were first seen to be asked for, in Unix milliseconds.
    pub wave_requests: BTreeMap<u64, u64>,
    /// Number of the term that began last.
    pub fence: Fence,
    // Cancelled before they were seen to be accepted, as the streams of the log have no common order.
    revoked: VecDeque<JobId>,
}

impl BatchState {
    /// Takes the next record of the log into account; returns the job that it changed, if any.
    /// A repeated record changes nothing.
    pub fn apply(&mut self, record: Record) -> Option<JobId> {
        match record {
            Record::Accepted(job) => {
                let id = job.id;
                if self.jobs.contains_key(&id) {
                    return None;
                }
                let mut entry = JobProgress::new(job);
                if self.revoked.contains(&id) {
                    entry.cancel();
                }
                self.jobs.insert(id, entry);
                return Some(id);
            }
            Record::JobSnapshot(carried) => {
                let entry = JobProgress::from(*carried);
                self.jobs.entry(entry.job.id).or_insert(entry);
            }
            Record::Cancelled(id) => {
                let Some(entry) = self.jobs.get_mut(&id) else {
                    self.revoke(id);
                    return None;
                };
                entry.cancel();
                return Some(id);
            }
            Record::TermStarted { fence, .. } => self.take_over(fence),
            Record::Ended(ends) => {
                for end in &ends {
                    if let Some(entry) = self.jobs.get_mut(&end.task.job) {
                        entry.apply_end(end);
                    }
                }
            }
            Record::Claimed(ids) => {
                for id in ids {
                    self.grant(id, Partitions::ALL);
                }
            }
            Record::HostOrdered { host, at } => {
                self.ordered.insert(host, at);
            }
            Record::Assigned {
                executor,
                service,
                addr,
            } => {
                self.unresponsive.remove(&executor);
                self.assigned.insert(executor, (service, addr));
            }
            Record::HostMaintained { wave, host } => {
                self.maintained.entry(wave).or_default().insert(host);
            }
            Record::Released(executor) => {
                self.unresponsive.remove(&executor);
                self.assigned.remove(&executor);
            }
            Record::Granted(grants) => {
                for (id, partitions) in grants {
                    self.grant(id, partitions);
                }
            }
            Record::Unresponsive(waits) => self.unresponsive.extend(waits),
            Record::WaveRequested { wave, at } => {
                self.wave_requests.entry(wave).or_insert(at);
            }
        }
        None
    }

    /// The book of a log whose streams were read to their ends, the owners' one last.
    #[must_use]
    pub fn fold(owners: Vec<Record>, gates: Vec<Record>) -> Self {
        let mut state = Self::default();
        let is_job = |record: &Record| matches!(record, Record::Accepted(_));
        let (jobs, others): (Vec<_>, Vec<_>) = gates.into_iter().partition(is_job);
        // What owners write refers to jobs, and cancellations hold for the jobs of both streams.
        for record in jobs.into_iter().chain(owners).chain(others) {
            state.apply(record);
        }
        state
    }

    /// Lets tasks of a job be started in further cells.
    pub fn grant(&mut self, id: JobId, partitions: Partitions) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.partitions = entry.partitions.union(partitions);
        }
    }

    fn revoke(&mut self, id: JobId) {
        if self.revoked.len() >= REVOKED_LIMIT {
            self.revoked.pop_front();
        }
        self.revoked.push_back(id);
    }

    fn take_over(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
        for entry in self.jobs.values_mut() {
            entry.inherited = entry.partitions;
        }
    }
}
