//! All jobs that a process knows of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Index;
use std::sync::Arc;

use crate::batch::JobId;
use crate::batch::JobProgress;
use crate::batch::TaskId;

/// Jobs by id, and which of them may have changed, so that what is derived from a job is computed
/// again only after a change.
#[derive(Debug, Default)]
pub struct JobTable {
    entries: BTreeMap<JobId, JobProgress>,
    changed: BTreeSet<JobId>,
}

impl JobTable {
    /// Returns a job.
    #[must_use]
    pub fn get(&self, id: &JobId) -> Option<&JobProgress> {
        self.entries.get(id)
    }

    /// Returns a job to be modified.
    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut JobProgress> {
        let entry = self.entries.get_mut(id)?;
        self.changed.insert(*id);
        Some(entry)
    }

    /// Adds a job unless one with its id is known.
    pub fn insert(&mut self, entry: JobProgress) {
        let id = entry.job.id;
        self.entries.entry(id).or_insert(entry);
        self.changed.insert(id);
    }

    /// Removes a job.
    pub fn remove(&mut self, id: &JobId) {
        self.entries.remove(id);
        self.changed.insert(*id);
    }

    /// Whether a job is known.
    #[must_use]
    pub fn contains(&self, id: &JobId) -> bool {
        self.entries.contains_key(id)
    }

    /// Returns the number of jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all jobs.
    pub fn values(&self) -> impl Iterator<Item = &JobProgress> {
        self.entries.values()
    }

    /// Returns all jobs, to be modified.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut JobProgress> {
        self.changed.extend(self.entries.keys());
        self.entries.values_mut()
    }

    /// Stores the saved progress of a task, which changes nothing that is derived from its job.
    pub fn save(&mut self, task: &TaskId, saved: &Arc<str>) {
        if let Some(entry) = self.entries.get_mut(&task.job) {
            entry.save(task, saved);
        }
    }

    /// Notes that an end of a run of a job is in the log, which changes nothing that is derived from
    /// the job.
    pub fn note_logged(&mut self, id: &JobId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.unlogged = entry.unlogged.saturating_sub(1);
        }
    }

    /// Returns the jobs that may have been added, modified or removed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed)
    }
}

impl Index<&JobId> for JobTable {
    type Output = JobProgress;

    fn index(&self, id: &JobId) -> &Self::Output {
        &self.entries[id]
    }
}
