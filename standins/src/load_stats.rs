//! Statistics of a load: outcomes and latencies of its requests.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

const US_PER_MS: f64 = 1e3;
const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of one request.
#[derive(Debug)]
pub enum Outcome {
    /// The complete response to this request arrived.
    Answered,
    /// The response had this status, which is not 200.
    Refused(u16),
    /// The response belongs to another request, or its body is damaged.
    Wrong,
    /// No response arrived, for this reason.
    Failed(String),
}

/// Counts of outcomes, and the latencies of answered requests.
pub struct LoadStats {
    answered: u64,
    refused: BTreeMap<u16, u64>,
    wrong: u64,
    failed: u64,
    last_failure: Option<String>,
    retries: u64,
    latencies_us: Histogram<u64>,
}

impl LoadStats {
    /// Creates empty statistics.
    ///
    /// # Errors
    /// The histogram rejects its bounds.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            answered: 0,
            refused: BTreeMap::new(),
            wrong: 0,
            failed: 0,
            last_failure: None,
            retries: 0,
            latencies_us: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
        })
    }

    /// Counts a request that took `time`.
    pub fn count(&mut self, outcome: Outcome, time: Duration) {
        match outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.latencies_us.saturating_record(time.as_micros() as u64);
            }
            Outcome::Refused(status) => *self.refused.entry(status).or_default() += 1,
            Outcome::Wrong => self.wrong += 1,
            Outcome::Failed(reason) => {
                self.failed += 1;
                self.last_failure = Some(reason);
            }
        }
    }

    /// Counts a request that was sent again.
    pub fn count_retry(&mut self) {
        self.retries += 1;
    }

    /// Whether any response did not belong to its request.
    pub fn has_wrong(&self) -> bool {
        self.wrong > 0
    }

    /// Returns the report of a load that took `time`.
    pub fn report(&self, time: Duration) -> Report {
        let ms = |us: u64| us as f64 / US_PER_MS;
        let percentile_ms = |share: f64| ms(self.latencies_us.value_at_quantile(share));
        Report(json!({
            "answered": self.answered,
            "refused": self.refused,
            "wrong": self.wrong,
            "failed": self.failed,
            "last_failure": self.last_failure,
            "retries": self.retries,
            "seconds": time.as_secs_f64(),
            "rate": self.answered as f64 / time.as_secs_f64(),
            "p50_ms": percentile_ms(0.5),
            "p90_ms": percentile_ms(0.9),
            "p99_ms": percentile_ms(0.99),
            "max_ms": ms(self.latencies_us.max()),
        }))
    }
}

/// The report of a load as a JSON object; displayed as one line per value.
pub struct Report(pub Value);

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let values = self.0.as_object().into_iter().flatten();
        for (name, value) in values {
            writeln!(out, "{name:<13} {value}")?;
        }
        Ok(())
    }
}
