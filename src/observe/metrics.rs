//! Metrics of a process in the Prometheus text format.

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

use crate::http::ErrorOutcome;
use crate::http::Handler;
use crate::http::Reply;
use crate::intake::IntakeEvent;
use crate::observe::Counters;
use crate::observe::MessageKind;
use crate::observe::MetricExporter;
use crate::observe::counters::MessageCounter;
use crate::observe::unix_millis;

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// Called before each scrape to update counters whose values are kept elsewhere.
pub type RefreshCallback = Rc<dyn Fn()>;

/// Metrics registry and instruments of a process; clones share them.
#[derive(Clone)]
pub struct Metrics {
    exporter: MetricExporter,
    durations: Histogram<f64>,
    requests: Counter<u64>,
    intake: Counter<u64>,
    refresh: RefreshCallback,
}

impl Metrics {
    /// Registers instruments that read `counters` on each scrape.
    ///
    /// # Errors
    /// An [`OTelSdkError`] if the exporter cannot be registered.
    pub fn open(counters: &Arc<Counters>, refresh: RefreshCallback) -> Result<Self, OTelSdkError> {
        let exporter = MetricExporter::open()?;
        let meter = exporter.meter();
        register_message_metrics(&meter, counters);
        register_link_metrics(&meter, counters);
        register_request_metrics(&meter, counters);
        register_state_metrics(&meter, counters);
        register_note_metrics(&meter, counters);
        Ok(Self {
            durations: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            requests: meter.u64_counter("mimosa.requests").build(),
            intake: meter
                .u64_counter("mimosa.connections_dropped")
                .with_unit("{event}")
                .build(),
            exporter,
            refresh,
        })
    }

    /// Wraps `handler`: serves `/metrics`, and records duration and outcome of all other requests.
    #[must_use]
    pub fn instrument(&self, handler: Handler) -> Handler {
        let metrics = self.clone();
        Rc::new(move |request| {
            if request.uri().path() == METRICS_PATH {
                let reply = metrics.scrape();
                return async move { reply }.boxed_local();
            }
            let route = route_label(request.uri().path());
            let reply = handler(request);
            let metrics = metrics.clone();
            let start = Instant::now();
            async move {
                let reply = reply.await;
                metrics.record_request(route, start, &reply);
                reply
            }
            .boxed_local()
        })
    }

    /// Reply with all metrics in the Prometheus text format.
    #[must_use]
    pub fn scrape(&self) -> Reply {
        (self.refresh)();
        self.exporter.reply()
    }

    /// Counts a connection or a body that was cut or refused for lack of memory or connections.
    pub fn record_intake(&self, event: IntakeEvent) {
        let labels = [KeyValue::new("mimosa.event", event.label())];
        self.intake.add(1, &labels);
    }

    fn record_request(&self, route: &'static str, start: Instant, reply: &Reply) {
        let status = i64::from(reply.status().as_u16());
        let labels = [
            KeyValue::new("http.route", route),
            KeyValue::new("http.response.status_code", status),
        ];
        self.durations
            .record(start.elapsed().as_secs_f64(), &labels);
        if route == SERVICE_ROUTE {
            self.requests.add(1, &outcome_labels(reply));
        }
    }
}

/// Route label of client requests to services.
const SERVICE_ROUTE: &str = "/v1/services/{service}/requests";

/// Route label of a path. All unknown paths share one label, so that clients cannot create labels.
fn route_label(path: &str) -> &'static str {
    const KNOWN_ROUTES: [&str; 5] = [
        "/healthz",
        "/readyz",
        "/v1/changes",
        "/v1/state",
        "/v1/events",
    ];
    if path.starts_with("/v1/services/") {
        return SERVICE_ROUTE;
    }
    let known = KNOWN_ROUTES.into_iter().find(|route| *route == path);
    known.unwrap_or("other")
}

fn outcome_labels(reply: &Reply) -> [KeyValue; 2] {
    let (code, verdict) = match reply.extensions().get::<ErrorOutcome>() {
        Some(outcome) => (outcome.code, outcome.verdict.as_str()),
        None => ("none", "answered"),
    };
    [
        KeyValue::new("mimosa.code", code),
        KeyValue::new("mimosa.verdict", verdict),
    ]
}

fn register_message_metrics(meter: &Meter, counters: &Arc<Counters>) {
    type Accessor = fn(&MessageCounter) -> &AtomicU64;
    let series: [(&'static str, &'static str, Accessor); 2] = [
        ("mimosa.messages", "{message}", |counter| &counter.count),
        ("mimosa.messages.io", "By", |counter| &counter.bytes),
    ];
    for (name, unit, accessor) in series {
        let counters = Arc::clone(counters);
        let builder = meter.u64_observable_counter(name).with_unit(unit);
        let callback = builder.with_callback(move |observer| {
            let directions = [
                ("transmit", &counters.sent),
                ("receive", &counters.received),
            ];
            for (direction, by_kind) in directions {
                for kind in MessageKind::ALL {
                    let labels = [
                        KeyValue::new("network.io.direction", direction),
                        KeyValue::new("mimosa.message.kind", kind.as_str()),
                    ];
                    observer.observe(accessor(&by_kind[kind as usize]).load(Relaxed), &labels);
                }
            }
        });
        callback.build();
    }
}

fn register_link_metrics(meter: &Meter, counters: &Arc<Counters>) {
    register_gauge(meter, counters, "mimosa.links", "{link}", |c| &c.links);
    let counters = Arc::clone(counters);
    meter
        .u64_observable_counter("mimosa.links.io")
        .with_unit("By")
        .with_callback(move |observer| {
            let directions = [
                ("transmit", &counters.datagrams_out),
                ("receive", &counters.datagrams_in),
            ];
            for (direction, bytes) in directions {
                let labels = [KeyValue::new("network.io.direction", direction)];
                observer.observe(bytes.load(Relaxed), &labels);
            }
        })
        .build();
}

fn register_request_metrics(meter: &Meter, counters: &Arc<Counters>) {
    register_gauge(meter, counters, "mimosa.queue.length", "{request}", |c| {
        &c.queued_requests
    });
    register_gauge(meter, counters, "mimosa.slots.used", "{slot}", |c| {
        &c.used_slots
    });
    register_counter(meter, counters, "mimosa.retries", "{attempt}", |c| {
        &c.retries
    });
    register_counter(meter, counters, "mimosa.permits.granted", "{permit}", |c| {
        &c.granted_permits
    });
    register_counter(meter, counters, "mimosa.grants", "{grant}", |c| {
        &c.sent[MessageKind::Grant as usize].count
    });
    let counters = Arc::clone(counters);
    meter
        .u64_observable_counter("mimosa.refusals")
        .with_unit("{refusal}")
        .with_callback(move |observer| {
            for (code, count) in counters.refusals() {
                observer.observe(count, &[KeyValue::new("mimosa.code", code)]);
            }
        })
        .build();
}

fn register_state_metrics(meter: &Meter, counters: &Arc<Counters>) {
    register_gauge(meter, counters, "mimosa.log.offset", "{record}", |c| {
        &c.offset
    });
    register_gauge(meter, counters, "mimosa.state.revision", "{change}", |c| {
        &c.revision
    });
    register_gauge(meter, counters, "mimosa.state.epoch", "{change}", |c| {
        &c.epoch
    });
    let counters = Arc::clone(counters);
    meter
        .f64_observable_gauge("mimosa.state.freshness")
        .with_unit("s")
        .with_callback(move |observer| {
            let fresh_until = counters.fresh_until.load(Relaxed);
            let remaining = fresh_until.saturating_sub(unix_millis());
            observer.observe(remaining as f64 / 1_000.0, &[]);
        })
        .build();
}

fn register_note_metrics(meter: &Meter, counters: &Arc<Counters>) {
    register_counter(meter, counters, "mimosa.notes", "{note}", |c| &c.notes);
    register_counter(meter, counters, "mimosa.notes.dropped", "{note}", |c| {
        &c.dropped_notes
    });
}

type CounterField = fn(&Counters) -> &AtomicU64;

fn register_gauge(
    meter: &Meter,
    counters: &Arc<Counters>,
    name: &'static str,
    unit: &'static str,
    field: CounterField,
) {
    let counters = Arc::clone(counters);
    meter
        .u64_observable_gauge(name)
        .with_unit(unit)
        .with_callback(move |observer| observer.observe(field(&counters).load(Relaxed), &[]))
        .build();
}

fn register_counter(
    meter: &Meter,
    counters: &Arc<Counters>,
    name: &'static str,
    unit: &'static str,
    field: CounterField,
) {
    let counters = Arc::clone(counters);
    meter
        .u64_observable_counter(name)
        .with_unit(unit)
        .with_callback(move |observer| observer.observe(field(&counters).load(Relaxed), &[]))
        .build();
}
