//! Writes to the log again what must outlive its records.

use std::time::Duration;

use slog::info;

use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::Record;
use crate::batch::executor_state::Assignment;
use crate::batch::job_snapshot::JobSnapshot;

/// Time between two looks at what is old, in milliseconds.
const LOOK_MS: u64 = 2_000;
/// Most jobs that are written again at a time.
const BATCH: usize = 50;
/// Records are written again after the log's retention divided by this.
const SHARE: u64 = 3;

impl Dispatcher {
    /// Writes again the jobs, and what concerns executors and waves, whose records grow old.
    pub(super) fn carry(&mut self, now: Now) {
        if now.at < self.carried + Duration::from_millis(LOOK_MS) {
            return;
        }
        self.carried = now.at;
        let age = self.retention / SHARE;
        self.carry_jobs(now, age);
        if now.unix >= self.rewritten + age {
            self.rewritten = now.unix;
            self.carry_rest();
        }
    }

    fn carry_jobs(&mut self, now: Now, age: u64) {
        let old = self.active.iter().filter(|id| {
            let entry = self.state.jobs.get(*id);
            entry.is_some_and(|entry| now.unix >= entry.written + age)
        });
        let old: Vec<JobId> = old.take(BATCH).copied().collect();
        if old.is_empty() {
            return;
        }
        info!(self.log, "jobs written again"; "jobs" => old.len());
        for id in old {
            if let Some(entry) = self.state.jobs.get_mut(&id) {
                entry.written = now.unix;
                let carried = JobSnapshot::new(entry, now.unix);
                // Each for itself, so that no append grows beyond what the log takes.
                self.append(vec![Record::JobSnapshot(Box::new(carried))]);
            }
        }
    }

    fn carry_rest(&mut self) {
        let mut records = Vec::new();
        for (id, seat) in &self.seats {
            let stays = seat.assignment == Assignment::Recorded && !seat.is_retired();
            // An engagement written again would begin the wait for it anew.
            if stays && !seat.is_unheard() {
                records.push(Record::Assigned {
                    executor: id.clone(),
                    service: seat.service.clone(),
                    addr: seat.addr,
                });
            }
        }
        for (wave, host) in self.waves.kept() {
            records.push(Record::HostMaintained { wave, host });
        }
        for (&wave, &at) in &self.state.wave_requests {
            if self.directives.waves.contains_key(&wave) {
                records.push(Record::WaveRequested { wave, at });
            }
        }
        self.append(records);
    }
}
