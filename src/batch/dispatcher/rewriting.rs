//! Writes to the log again what must outlive its records.

use std::time::Duration;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::Record;
use crate::batch::carried::Carried;
use crate::batch::executor_state::Engagement;

/// Time between two looks at what is old, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 2_000;
/// Most jobs that are written again at a time.
const JOB_LIMIT: usize = 50;
/// Records are written again after the log's retention divided by this.
const RETENTION_DIVISOR: u64 = 3;

impl Dispatcher {
    /// Writes again the jobs, and what concerns executors and waves, whose records grow old.
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
        let old = self.active.iter().filter(|id| {
            let entry = self.book.jobs.get(*id);
            entry.is_some_and(|entry| now.unix >= entry.written + age)
        });
        let old: Vec<JobId> = old.take(JOB_LIMIT).copied().collect();
        if old.is_empty() {
            return;
        }
        info!(self.log, "jobs written again"; "jobs" => old.len());
        for id in old {
            if let Some(entry) = self.book.jobs.get_mut(&id) {
                entry.written = now.unix;
                let carried = Carried::new(entry, now.unix);
                // Each for itself, so that no append grows beyond what the log takes.
                self.append(vec![Record::Carried(Box::new(carried))]);
            }
        }
    }

    fn rewrite_state(&mut self) {
        let mut records = Vec::new();
        for (id, executor) in &self.executors {
            let stays = executor.engagement == Engagement::Recorded && !executor.is_retired();
            // An engagement written again would begin the wait for it anew.
            if stays && !executor.has_unknown_runs() {
                records.push(Record::Engaged {
                    executor: id.clone(),
                    service: executor.service.clone(),
                    addr: executor.addr,
                });
            }
        }
        for (wave, host) in self.waves.finished() {
            records.push(Record::Kept { wave, host });
        }
        for (&wave, &at) in &self.book.asked {
            if self.directives.waves.contains_key(&wave) {
                records.push(Record::Asked { wave, at });
            }
        }
        self.append(records);
    }
}
