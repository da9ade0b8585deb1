//! Metrics of jobs and orders.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

use futures_util::FutureExt;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry_sdk::error::OTelSdkError;

use crate::batch::CallOutcome;
use crate::batch::Lateness;
use crate::batch::LoadSummary;
use crate::batch::OrderError;
use crate::batch::Refusal;
use crate::batch::RunOutcome;
use crate::batch::SizeClass;
use crate::batch::load_metrics::LoadMetrics;
use crate::http::Handler;
use crate::intake::IntakeEvent;
use crate::intake::Listener;
use crate::observe::MetricExporter;

/// Bucket bounds of the latency histograms, in seconds.
const BOUNDS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Values of the owner that are read at each scrape.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Jobs that have not ended.
    pub active: AtomicU64,
    /// Runs known on executors.
    pub running: AtomicU64,
    /// Executors that the owner keeps track of.
    pub executors: AtomicU64,
    /// Runs that ended, in the order of [`RunOutcome::ALL`].
    pub ends: [AtomicU64; RunOutcome::ALL.len()],
    /// CPU that services need beyond the hosts that they get, in thousandths of a core.
    pub unmet: AtomicU64,
    /// CPU that counts against teams' limits for runs that the owner doesn't know, in thousandths of a
    /// core.
    pub unseen: AtomicU64,
    /// Fencing token of the owner's term; 0 if this process has not been the owner.
    pub fence: AtomicU64,
}

/// Metric instruments of a process; clones share them.
#[derive(Clone)]
pub struct BatchMetrics {
    exporter: MetricExporter,
    calls: Histogram<f64>,
    orders: Histogram<f64>,
    completed: Counter<u64>,
    oversized: Counter<u64>,
    intake: Counter<u64>,
    gauges: Arc<Gauges>,
    load: LoadMetrics,
}

impl BatchMetrics {
    /// Creates the instruments and their registry.
    ///
    /// # Errors
    /// An [`OTelSdkError`] if the exporter can't be registered.
    pub fn open() -> Result<Self, OTelSdkError> {
        let exporter = MetricExporter::open()?;
        let meter = exporter.meter();
        let gauges = Arc::new(Gauges::default());
        observe(&meter, &gauges);
        Ok(Self {
            calls: histogram(&meter, "mimosa.batch.calls"),
            orders: histogram(&meter, "mimosa.batch.orders"),
            completed: meter
                .u64_counter("mimosa.batch.jobs_completed")
                .with_unit("{job}")
                .build(),
            oversized: meter
                .u64_counter("mimosa.batch.oversized_records")
                .with_unit("{record}")
                .build(),
            intake: meter
                .u64_counter("mimosa.batch.connections_dropped")
                .with_unit("{event}")
                .build(),
            load: LoadMetrics::new(&meter),
            exporter,
            gauges,
        })
    }

    /// Records the latency and outcome of a client's call that began at `start`.
    pub fn record_call(&self, start: Instant, result: &Result<CallOutcome, Refusal>) {
        let outcome = match result {
            Ok(CallOutcome::Accepted) => "accepted",
            Ok(CallOutcome::Cancelled) => "cancelled",
            Ok(CallOutcome::State(_)) => "state",
            Ok(CallOutcome::Waiting(_)) => "waiting",
            Err(Refusal::NoQueue) => "no-queue",
            Err(Refusal::NoKey) => "no-key",
            Err(Refusal::Invalid(_)) => "invalid",
            Err(Refusal::NoJob) => "no-job",
            Err(Refusal::Unavailable(..)) => "unavailable",
            Err(Refusal::Unknown(_)) => "unknown",
        };
        let labels = [KeyValue::new("mimosa.outcome", outcome)];
        self.calls.record(start.elapsed().as_secs_f64(), &labels);
    }

    /// Counts a connection or a body that a listener cut or refused for lack of memory or connections.
    pub fn record_intake(&self, listener: Listener, event: IntakeEvent) {
        let labels = [
            KeyValue::new("mimosa.listener", listener.label()),
            KeyValue::new("mimosa.event", event.label()),
        ];
        self.intake.add(1, &labels);
    }

    /// Records the latency and outcome of an order that was sent at `start`.
    pub fn record_order(&self, kind: &'static str, start: Instant, error: Option<OrderError>) {
        let outcome =
            error.map_or_else(|| "ok".to_owned(), |err| format!("{err:?}").to_lowercase());
        let labels = [
            KeyValue::new("mimosa.order", kind),
            KeyValue::new("mimosa.outcome", outcome),
        ];
        self.orders.record(start.elapsed().as_secs_f64(), &labels);
    }

    /// Sets the gauges: jobs that have not ended, runs, executors and fencing token.
    pub fn set_gauges(&self, active: usize, running: usize, executors: usize, fence: u64) {
        self.gauges.active.store(active as u64, Relaxed);
        self.gauges.running.store(running as u64, Relaxed);
        self.gauges.executors.store(executors as u64, Relaxed);
        self.gauges.fence.store(fence, Relaxed);
    }

    /// Sets the gauges of CPU, in thousandths of a core: what services need beyond what they get, and
    /// what counts against teams' limits for unknown runs.
    pub fn set_cpu(&self, unmet: u64, unseen: u64) {
        self.gauges.unmet.store(unmet, Relaxed);
        self.gauges.unseen.store(unseen, Relaxed);
    }

    /// Adds runs that ended, counted by outcome in the order of [`RunOutcome::ALL`].
    pub fn count_ends(&self, ends: &[u64; RunOutcome::ALL.len()]) {
        for (counter, &count) in self.gauges.ends.iter().zip(ends) {
            counter.fetch_add(count, Relaxed);
        }
    }

    /// Adds completed jobs, counted by size class and lateness.
    pub fn count_completed(&self, completed: &BTreeMap<(SizeClass, Lateness), u64>) {
        for (&(size, lateness), &count) in completed {
            let labels = [
                KeyValue::new("mimosa.size", size.label()),
                KeyValue::new("mimosa.end", lateness.label()),
            ];
            self.completed.add(count, &labels);
        }
    }

    /// Counts a record that exceeds the log's limit.
    pub fn count_oversized(&self) {
        self.oversized.add(1, &[]);
    }

    /// Records an owner's load in an interval.
    pub fn record_load(&self, summary: &LoadSummary) {
        self.load.record(summary);
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    /// A [`prometheus::Error`] if they can't be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        self.exporter.encode()
    }

    /// Handler that serves the metrics in the Prometheus text format.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let metrics = self.clone();
        Rc::new(move |_| {
            let reply = metrics.exporter.reply();
            async move { reply }.boxed_local()
        })
    }
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_unit("s");
    builder.with_boundaries(BOUNDS.to_vec()).build()
}

fn observe(meter: &Meter, gauges: &Arc<Gauges>) {
    type Pick = fn(&Gauges) -> &AtomicU64;
    let instruments: [(&'static str, &'static str, Pick); 6] = [
        ("mimosa.batch.jobs", "{job}", |gauges| &gauges.active),
        ("mimosa.batch.runs", "{run}", |gauges| &gauges.running),
        ("mimosa.batch.executors", "{executor}", |gauges| {
            &gauges.executors
        }),
        ("mimosa.batch.unmet_cpu", "m{core}", |gauges| &gauges.unmet),
        ("mimosa.batch.unseen_cpu", "m{core}", |gauges| {
            &gauges.unseen
        }),
        ("mimosa.batch.fence", "{fence}", |gauges| &gauges.fence),
    ];
    for (name, unit, pick) in instruments {
        let gauges = gauges.clone();
        let builder = meter.u64_observable_gauge(name).with_unit(unit);
        let gauge = builder.with_callback(move |observer| {
            observer.observe(pick(&gauges).load(Relaxed), &[]);
        });
        gauge.build();
    }
    let gauges = gauges.clone();
    let builder = meter.u64_observable_counter("mimosa.batch.ends");
    let ends = builder.with_unit("{run}").with_callback(move |observer| {
        for (outcome, count) in RunOutcome::ALL.iter().zip(&gauges.ends) {
            let outcome = format!("{outcome:?}").to_lowercase();
            observer.observe(count.load(Relaxed), &[KeyValue::new("mimosa.how", outcome)]);
        }
    });
    ends.build();
}
