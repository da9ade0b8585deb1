//! Metrics of the owner's state.

use std::time::Duration;

use crate::batch::BatchMetrics;
use crate::batch::Dispatcher;
use crate::batch::Now;

/// Time between two updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// Updates the metrics, at most once per `METRICS_INTERVAL`.
    pub fn measure(&mut self, now: Now, metrics: &BatchMetrics) {
        if now.at < self.last_metrics + METRICS_INTERVAL {
            return;
        }
        self.last_metrics = now.at;
        let running = self
            .executors
            .values()
            .map(|executor| executor.runs.len())
            .sum();
        metrics.set_gauges(self.active.len(), running, self.executors.len(), self.fence);
        metrics.set_cpu(self.unmet_cpu, self.unseen_cpu);
        metrics.count_ends(&std::mem::take(&mut self.ends));
        metrics.count_completed(&std::mem::take(&mut self.completed));
    }

    /// Number of jobs that have not ended.
    #[must_use]
    pub fn active_jobs(&self) -> usize {
        self.active.len()
    }
}
