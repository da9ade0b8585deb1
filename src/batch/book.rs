//! All jobs, as folded from the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::batch::Entry;
use crate::batch::Fence;
use crate::batch::JobId;
use crate::batch::Record;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::ServiceName;

/// Jobs, and executors on which something may run.
#[derive(Debug, Default)]
pub struct Book {
    /// Jobs by their id.
    pub jobs: BTreeMap<JobId, Entry>,
    /// Executors that may have been given work.
    pub engaged: BTreeMap<ExecutorId, (ServiceName, SocketAddr)>,
    /// When hosts were last ordered down or elsewhere, in Unix milliseconds.
    pub ordered: BTreeMap<HostName, u64>,
    /// Hosts that have had their upkeep, by wave.
    pub kept: BTreeMap<u64, BTreeSet<HostName>>,
    /// Number of the reign that began last.
    pub fence: Fence,
}

impl Book {
    /// Takes the next record of the log into account; returns the job that it changed, if any.
    /// A repeated record changes nothing.
    pub fn apply(&mut self, record: Record) -> Option<JobId> {
        match record {
            Record::Accepted(job) => {
                let id = job.id;
                if self.jobs.contains_key(&id) {
                    return None;
                }
                self.jobs.insert(id, Entry::new(job));
                return Some(id);
            }
            Record::Carried(carried) => {
                let entry = Entry::from(*carried);
                self.jobs.entry(entry.job.id).or_insert(entry);
            }
            Record::Cancelled(id) => {
                self.jobs.get_mut(&id)?.cancel();
                return Some(id);
            }
            Record::Took { fence, .. } => self.take_over(fence),
            Record::Ended(ends) => {
                for end in &ends {
                    if let Some(entry) = self.jobs.get_mut(&end.task.job) {
                        entry.end(end);
                    }
                }
            }
            Record::Claimed(ids) => {
                for id in ids {
                    if let Some(entry) = self.jobs.get_mut(&id) {
                        entry.claimed = true;
                    }
                }
            }
            Record::Ordered { host, at } => {
                self.ordered.insert(host, at);
            }
            Record::Engaged {
                executor,
                service,
                addr,
            } => {
                self.engaged.insert(executor, (service, addr));
            }
            Record::Kept { wave, host } => {
                self.kept.entry(wave).or_default().insert(host);
            }
            Record::Released(executor) => {
                self.engaged.remove(&executor);
            }
        }
        None
    }

    fn take_over(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
        for entry in self.jobs.values_mut() {
            entry.inherited = entry.claimed;
        }
    }
}
