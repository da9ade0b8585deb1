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

/// Work that came in, in core-milliseconds, by when.
#[derive(Debug, Default)]
struct Arrivals {
    items: VecDeque<(Instant, u64)>,
}

/// Measures the work that comes in for each service.
#[derive(Debug, Default)]
pub struct DemandMeter {
    services: BTreeMap<ServiceName, Arrivals>,
}

impl DemandMeter {
    /// Notes a job that came in.
    pub fn note(&mut self, now: Instant, job: &Job) {
        if job.lasts() || job.schedule.is_some() {
            return;
        }
        let steps = job.steps.iter();
        let work = steps.map(|step| step.estimate * step.demand.cpu * u64::from(step.count));
        let work = work.sum::<u64>() / 1_000;
        let arrivals = self.services.entry(job.service.clone()).or_default();
        arrivals.items.push_back((now, work));
    }

    /// Processor that a service's work will take soon, in thousandths of a core: the rate of
    /// arrival, carried on if it rises.
    pub fn forecast(&mut self, now: Instant, service: &ServiceName) -> u64 {
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
        for &(at, work) in &arrivals.items {
            if age(at) <= window {
                recent += work;
            } else {
                before += work;
            }
        }
        let rise = recent.saturating_sub(before);
        (recent + rise * AHEAD) * 1_000 / WINDOW_MS
    }
}
