//! State of all jobs, built by applying the records of the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::batch::Fence;
use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::JobTable;
use crate::batch::Partitions;
use crate::batch::Record;
use crate::batch::Resources;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::ServiceName;

/// Maximum number of cancellations that are kept for jobs not yet seen.
const EARLY_CANCEL_LIMIT: usize = 2_000;

/// Jobs, and the executors on which their tasks may run.
#[derive(Debug, Default)]
pub struct BatchState {
    /// Jobs by id; includes jobs that have ended, until they are dropped.
    pub jobs: JobTable,
    /// Executors that may have been assigned work, with their service and address.
    pub assigned: BTreeMap<ExecutorId, (ServiceName, SocketAddr)>,
    /// Greatest capacity that was recorded for each executor since it was last released.
    pub capacities: BTreeMap<ExecutorId, Resources>,
    /// Assigned executors that have not reported since a takeover, with the time for which no owner
    /// has given them work, in milliseconds.
    pub recovery_waits: BTreeMap<ExecutorId, u64>,
    /// Time of the last order to maintain or move a host, in Unix milliseconds.
    pub ordered: BTreeMap<HostName, u64>,
    /// Hosts that have been maintained, by wave.
    pub maintained: BTreeMap<u64, BTreeSet<HostName>>,
    /// When each requested wave was first seen, in Unix milliseconds.
    pub wave_requests: BTreeMap<u64, u64>,
    /// Number of the latest term; 0 if there was none.
    pub fence: Fence,
    // Jobs whose cancellation was read before the job: the streams of the log have no common order.
    cancelled_early: VecDeque<JobId>,
}

impl BatchState {
    /// Applies a record; a repeated one changes nothing. Returns the job that the record accepts or
    /// cancels, even if it is cancelled already or has ended; `None` for any other
    /// record, a repeated acceptance and the cancellation of a job not seen yet.
    pub fn apply(&mut self, record: Record) -> Option<JobId> {
        match record {
            Record::Accepted(job) => {
                let id = job.id;
                if self.jobs.contains(&id) {
                    return None;
                }
                let mut entry = JobProgress::new(job);
                if self.cancelled_early.contains(&id) {
                    entry.cancel();
                }
                self.jobs.insert(entry);
                return Some(id);
            }
            Record::JobSnapshot(snapshot) | Record::JobOutline(snapshot) => {
                let entry = JobProgress::from(*snapshot);
                self.jobs.insert(entry);
            }
            Record::Cancelled(id) => {
                let Some(entry) = self.jobs.get_mut(&id) else {
                    self.cancel_early(id);
                    return None;
                };
                entry.cancel();
                return Some(id);
            }
            Record::TermStarted { fence, .. } => self.begin_term(fence),
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
                self.recovery_waits.remove(&executor);
                self.assigned.insert(executor, (service, addr));
            }
            Record::HostMaintained { wave, host } => {
                self.maintained.entry(wave).or_default().insert(host);
            }
            Record::Released(executor) => {
                self.recovery_waits.remove(&executor);
                self.release(&executor);
            }
            Record::Granted(grants) => {
                for (id, partitions) in grants {
                    self.grant(id, partitions);
                }
            }
            Record::RecoveryWaits(waits) => self.recovery_waits.extend(waits),
            Record::WaveRequested { wave, at } => {
                self.wave_requests.entry(wave).or_insert(at);
            }
            Record::TermContinued { .. } => {}
            Record::Capacity { executor, capacity } => self.note_capacity(&executor, &capacity),
        }
        None
    }

    /// State of a log whose streams have been read to their ends.
    #[must_use]
    pub fn fold(owner_records: Vec<Record>, gate_records: Vec<Record>) -> Self {
        let mut state = Self::default();
        let is_job = |record: &Record| matches!(record, Record::Accepted(_));
        let (jobs, others): (Vec<_>, Vec<_>) = gate_records.into_iter().partition(is_job);
        // The gates' jobs come first, as the owners' records refer to them; the gates'
        // cancellations come last, as they may refer to jobs in the owners' stream.
        for record in jobs.into_iter().chain(owner_records).chain(others) {
            state.apply(record);
        }
        state
    }

    /// Allows the tasks of a job to be started in further partitions.
    pub fn grant(&mut self, id: JobId, partitions: Partitions) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.partitions = entry.partitions.union(partitions);
        }
    }

    /// Notes the capacity of an executor that may be assigned work.
    pub fn note_capacity(&mut self, executor: &ExecutorId, capacity: &Resources) {
        let known = self.capacities.entry(executor.clone()).or_default();
        *known = known.max(capacity);
    }

    /// Whether a capacity exceeds what is known of an executor in any resource.
    #[must_use]
    pub fn is_outgrown(&self, executor: &ExecutorId, capacity: &Resources) -> bool {
        let known = self.capacities.get(executor);
        known.is_none_or(|known| !capacity.is_within(known))
    }

    /// Forgets an executor on which nothing can run any more.
    pub fn release(&mut self, executor: &ExecutorId) {
        self.assigned.remove(executor);
        self.capacities.remove(executor);
    }

    fn cancel_early(&mut self, id: JobId) {
        if self.cancelled_early.len() >= EARLY_CANCEL_LIMIT {
            self.cancelled_early.pop_front();
        }
        self.cancelled_early.push_back(id);
    }

    /// Notes the start of a term: in all partitions granted so far, earlier owners may have started
    /// runs.
    fn begin_term(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
        for entry in self.jobs.values_mut() {
            entry.inherited = entry.partitions;
        }
    }
}
