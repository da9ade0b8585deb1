//! Metrics of an owner's load.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;

use crate::batch::Effort;
use crate::batch::LoadSummary;
use crate::batch::OwnerTask;

/// Instruments for an owner's load; clones share them.
#[derive(Clone)]
pub struct LoadMetrics {
    lag: Gauge<f64>,
    busy: Counter<f64>,
    messages: Counter<u64>,
    effort: Counter<u64>,
}

impl LoadMetrics {
    /// Creates the instruments.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let lag = meter.f64_gauge("mimosa.batch.owner_lag").with_unit("s");
        let busy = meter.f64_counter("mimosa.batch.owner_busy").with_unit("s");
        let messages = meter.u64_counter("mimosa.batch.owner_messages");
        let effort = meter.u64_counter("mimosa.batch.owner_effort");
        Self {
            lag: lag.build(),
            busy: busy.build(),
            messages: messages.with_unit("{message}").build(),
            effort: effort.build(),
        }
    }

    /// Records the load in an interval.
    pub fn record(&self, summary: &LoadSummary) {
        self.lag.record(summary.lag.as_secs_f64(), &[]);
        self.messages.add(summary.messages, &[]);
        for task in OwnerTask::ALL {
            let labels = [KeyValue::new("mimosa.task", task.label())];
            self.busy.add(summary.spent_on(task).as_secs_f64(), &labels);
        }
        for (label, count) in Effort::LABELS.into_iter().zip(summary.effort.counts()) {
            self.effort
                .add(count, &[KeyValue::new("mimosa.count", label)]);
        }
    }
}
