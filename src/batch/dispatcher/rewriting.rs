//! Rewrites state to the log before the log's retention drops its records.

use std::time::Duration;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::Record;
use crate::batch::assignment::Assignment;
use crate::batch::job_snapshot::JobSnapshot;

/// Time between two checks for old records, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 2_000;
/// Most jobs that are rewritten at a time, unless there are so many that this is too few.
const JOB_LIMIT: usize = 50;
/// Most records of up to the log's limit in one append.
const RECORDS_PER_APPEND: usize = 3;
/// Most records of executors, hosts and waves in one append.
const SMALL_RECORDS_PER_APPEND: usize = 1_000;
/// Records are rewritten when their age is the log's retention divided by this.
const RETENTION_DIVISOR: u64 = 3;

impl Dispatcher {
    /// Rewrites jobs whose records are old, and from time to time the records of executors and
    /// waves.
    pub(super) fn rewrite_old(&mut self, now: Now) {
        if now.at < self.last_check + Duration::from_millis(CHECK_INTERVAL_MS) {
            return;
        }
        self.last_check = now.at;
        let age = self.retention / RETENTION_DIVISOR;
        self.rewrite_jobs(now, age);
        if now.unix >= self.last_rewrite + age {
            self.last_rewrite = now.unix;
            self.rewrite_state();
        }
    }

    fn rewrite_jobs(&mut self, now: Now, age: u64) {
        let jobs = self.active.iter().filter_map(|id| self.state.jobs.get(id));
        let old = jobs.filter(|entry| now.unix >= entry.written.saturating_add(age));
        let mut old: Vec<(u64, JobId)> = old.map(|entry| (entry.written, entry.job.id)).collect();
        if old.is_empty() {
            return;
        }
        old.sort_unstable();
        // As many as it takes to rewrite all of them by the time at which the first are old again.
        let checks = (age / CHECK_INTERVAL_MS).max(1);
        let share = self.active.len().div_ceil(checks as usize);
        old.truncate(share.max(JOB_LIMIT));
        info!(self.log, "jobs rewritten to the log"; "jobs" => old.len());
        for (_, id) in old {
            if let Some(entry) = self.state.jobs.get_mut(&id) {
                entry.written = now.unix;
                let records = JobSnapshot::records(entry, now.unix, self.record_limit);
                // An append for each job keeps each below the log's limit on appends.
                self.append_grouped(records, RECORDS_PER_APPEND);
            }
        }
    }

    fn rewrite_state(&mut self) {
        let mut records = Vec::new();
        for (id, executor) in &self.executors {
            let stays = executor.assignment == Assignment::Recorded && !executor.is_retired();
            // Rewriting this assignment would reset the recorded wait for the executor.
            if stays && !executor.has_unknown_runs() {
                records.extend(Record::assignment(id, executor));
            }
        }
        for (wave, host) in self.waves.maintained() {
            records.push(Record::HostMaintained { wave, host });
        }
        for (&wave, &at) in &self.state.wave_requests {
            if self.directives.waves.contains_key(&wave) {
                records.push(Record::WaveRequested { wave, at });
            }
        }
        self.append_grouped(records, SMALL_RECORDS_PER_APPEND);
    }
}
