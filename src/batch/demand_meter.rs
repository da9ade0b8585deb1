//! How much work comes in for each service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Job;
use crate::name::ServiceName;

/// Time over which arrivals are averaged, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// How far ahead the rise of the last two windows is carried on, in windows.
const AHEAD: u64 = 2;

/// A rise counts by what it is beyond so many standard deviations of the difference between two
/// windows if demand stayed what it was, in hundredths; a single job is none.
const CHANCE: u64 = 150;

/// Time after a change of owners from which on two whole windows have been seen, in milliseconds.
const SETTLE_MS: u64 = 2_500;

/// Work that came in, in core-milliseconds, by when.
#[derive(Debug, Default)]
struct Arrivals {
    items: VecDeque<(Instant, u64)>,
}

/// Measures the work that comes in for each service.
#[derive(Debug, Default)]
pub struct DemandMeter {
    services: BTreeMap<ServiceName, Arrivals>,
    // From when on the last two windows can be compared.
    steady: Option<Instant>,
}

impl DemandMeter {
    /// Notes a job that came in.
    pub fn note(&mut self, now: Instant, job: &Job) {
        if job.is_lasting() || job.schedule.is_some() {
            return;
        }
        let steps = job.steps.iter();
        let work = steps.map(|step| step.estimate * step.demand.cpu * u64::from(step.count));
        let work = work.sum::<u64>() / 1_000;
        let arrivals = self.services.entry(job.service.clone()).or_default();
        arrivals.items.push_back((now, work));
    }

    /// A meter of an owner that takes over at `now`: what came in before it doesn't know.
    #[must_use]
    pub fn inherited(now: Instant) -> Self {
        Self {
            steady: Some(now + Duration::from_millis(SETTLE_MS)),
            ..Self::default()
        }
    }

    /// Processor that a service's work will take soon, in thousandths of a core: the rate of
    /// arrival, carried on if it rises by more than chance.
    pub fn forecast(&mut self, now: Instant, service: &ServiceName) -> u64 {
        let steady = self.steady.is_none_or(|steady| now >= steady);
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
        let mut recent = 0;
        let mut before = 0;
        let mut largest = 0;
        let mut squares = 0.0;
        for &(at, work) in &arrivals.items {
            if age(at) <= window {
                recent += work;
                largest = largest.max(work);
            } else {
                before += work;
                squares += square(work);
            }
        }
        let rise = if steady {
            recent.saturating_sub(before)
        } else {
            0
        };
        let chance = root(squares * 2.0) * CHANCE / 100;
        let rise = rise.saturating_sub(chance.max(largest));
        let rate = if rise > 0 || !steady {
            recent
        } else {
            recent.min(before) + recent.abs_diff(before) / 2
        };
        (rate + rise * AHEAD) * 1_000 / WINDOW_MS
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
