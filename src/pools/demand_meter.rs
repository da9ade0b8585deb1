//! Forecast of each service's demand from the jobs that arrive.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Job;
use crate::batch::Resources;
use crate::name::ServiceName;

/// Time over which arrivals are averaged, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Time ahead to which the rise between the last two windows is extrapolated, in windows.
const AHEAD_WINDOWS: u64 = 2;

/// Part of a rise that counts as noise, in hundredths of the standard deviation of the difference
/// that chance makes between two windows. At least the largest single job counts as noise.
const NOISE_PERCENT: u64 = 150;

/// Time after a change of owner from which two whole windows have been measured, with a margin, in
/// milliseconds.
const SETTLE_MS: u64 = 2_500;

/// Work that arrived, in core-milliseconds, by time of arrival.
#[derive(Debug, Default)]
struct Arrivals {
    items: VecDeque<(Instant, u64)>,
}

/// Measures the work that arrives for each service. Long-running and scheduled jobs don't count.
#[derive(Debug, Default)]
pub struct DemandMeter {
    services: BTreeMap<ServiceName, Arrivals>,
    // When the last two windows can be compared; `None` if always.
    comparable: Option<Instant>,
}

impl DemandMeter {
    /// Notes a job that arrived. Tasks that need more than the `largest` host has don't count.
    pub fn note(&mut self, now: Instant, job: &Job, largest: &Resources) {
        if job.is_long_running() || job.schedule.is_some() {
            return;
        }
        let steps = job.steps.iter();
        let steps = steps.filter(|step| step.reserved().is_within(largest));
        let work = steps.map(|step| {
            let time = step.estimate.saturating_mul(u64::from(step.count));
            time.saturating_mul(step.demand.cpu)
        });
        let work = work.fold(0, u64::saturating_add) / 1_000;
        let arrivals = self.services.entry(job.service.clone()).or_default();
        arrivals.items.push_back((now, work));
    }

    /// Creates a meter for an owner that takes over at `now` and does not know earlier arrivals.
    #[must_use]
    pub fn inherited(now: Instant) -> Self {
        Self {
            comparable: Some(now + Duration::from_millis(SETTLE_MS)),
            ..Self::default()
        }
    }

    /// Returns the CPU that a service's work will take soon, in thousandths of a core: the rate of
    /// arrival, extrapolated if it rises by more than noise.
    pub fn forecast(&mut self, now: Instant, service: &ServiceName) -> u64 {
        let comparable = self.comparable.is_none_or(|comparable| now >= comparable);
        let Some(arrivals) = self.services.get_mut(service) else {
            return 0;
        };
        let window = Duration::from_millis(WINDOW_MS);
        let age = |at: Instant| now.saturating_duration_since(at);
        while arrivals
            .items
            .front()
            .is_some_and(|&(at, _)| age(at) > window * 2)
        {
            arrivals.items.pop_front();
        }
        let mut recent = 0_u64;
        let mut previous = 0_u64;
        let mut largest = 0;
        let mut squares = 0.0;
        for &(at, work) in &arrivals.items {
            if age(at) <= window {
                recent = recent.saturating_add(work);
                largest = largest.max(work);
            } else {
                previous = previous.saturating_add(work);
                squares += square(work);
            }
        }
        let rise = if comparable {
            recent.saturating_sub(previous)
        } else {
            0
        };
        let noise = root(squares * 2.0).saturating_mul(NOISE_PERCENT) / 100;
        let rise = rise.saturating_sub(noise.max(largest));
        // Without a rise, the mean of both windows.
        let rate = if rise > 0 || !comparable {
            recent
        } else {
            recent.min(previous) + recent.abs_diff(previous) / 2
        };
        let ahead = rise.saturating_mul(AHEAD_WINDOWS);
        rate.saturating_add(ahead).saturating_mul(1_000) / WINDOW_MS
    }
}

#[allow(clippy::cast_precision_loss)]
fn square(work: u64) -> f64 {
    (work as f64).powi(2)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn root(squares: f64) -> u64 {
    squares.sqrt() as u64
}
