//! Export of metrics in the Prometheus text format.

use hyper::StatusCode;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::http::Reply;
use crate::http::text_reply;

/// Name of the scope of all instruments.
const SCOPE: &str = "mimosastep";

/// Exports the values of a process's instruments; clones share them.
#[derive(Clone)]
pub struct MetricExporter {
    registry: Registry,
    // Dropping the provider would shut the instruments down.
    provider: SdkMeterProvider,
}

impl MetricExporter {
    /// Creates an exporter without instruments.
    ///
    /// # Errors
    /// An [`OTelSdkError`] if it can't be registered.
    pub fn open() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates the instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Returns the values of all instruments in the Prometheus text format.
    ///
    /// # Errors
    /// A [`prometheus::Error`] if they can't be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Returns the reply to a scrape.
    #[must_use]
    pub fn reply(&self) -> Reply {
        match self.encode() {
            Ok(text) => text_reply(StatusCode::OK, text),
            Err(err) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}
