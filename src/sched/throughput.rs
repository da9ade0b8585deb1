//! Measured throughput of a service or team.

use std::time::Duration;
use std::time::Instant;

/// Minimum and maximum length of the window over which finishes are counted for one sample of the
/// rate, in milliseconds.
const WINDOW_MS: [u64; 2] = [100, 1_000];
/// Finishes that complete a sample before the window reaches its maximum length.
const WINDOW_FINISHES: u32 = 16;
/// Weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Half-life of the longest gap between finishes, in seconds.
const GAP_HALF_LIFE_S: f64 = 10.0;

/// Measures run times, the rate of finishes while requests are queued, and the rate of urgent
/// requests.
#[derive(Debug, Default)]
pub struct Throughput {
    /// Start of the current window; none while nothing is queued.
    window: Option<Instant>,
    finishes: u32,
    rate: Option<f64>,
    run_time: Option<f64>,
    /// Longest time between two finishes, in seconds; decays with [`GAP_HALF_LIFE_S`].
    gap: Option<f64>,
    /// Last finish, or the start of the current series of windows if that is later.
    last_finish: Option<Instant>,
    /// Number of urgent requests, decaying by a factor of e each second.
    urgent_sum: f64,
    last_urgent: Option<Instant>,
}

impl Throughput {
    /// Counts the end of a run that started at `since`.
    pub fn finish(&mut self, now: Instant, since: Instant) {
        let run = now.saturating_duration_since(since).as_secs_f64();
        self.run_time = Some(moving_average(self.run_time, run));
        self.finishes += 1;
        if self.window.is_some() {
            self.stretch_gap(now);
        }
        self.last_finish = Some(now);
    }

    /// Updates the rate: `busy` says whether requests are queued. Completes the sample if the
    /// window has enough finishes or has reached its maximum length.
    pub fn observe(&mut self, now: Instant, busy: bool) {
        if !busy {
            self.window = None;
            return;
        }
        let Some(start) = self.window else {
            self.window = Some(now);
            self.last_finish = Some(now);
            self.finishes = 0;
            return;
        };
        let passed = now.saturating_duration_since(start);
        let [shortest, longest] = WINDOW_MS.map(Duration::from_millis);
        let enough = passed >= shortest && self.finishes >= WINDOW_FINISHES;
        if !enough && passed < longest {
            return;
        }
        let sample = f64::from(self.finishes) / passed.as_secs_f64();
        self.rate = Some(moving_average(self.rate, sample));
        self.finishes = 0;
        self.window = Some(now);
    }

    /// Counts an urgent request.
    pub fn record_urgent(&mut self, now: Instant) {
        let passed = self
            .last_urgent
            .map_or(1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let passed = passed.max(f64::EPSILON);
        // Exponential moving average of the arrival rate with a time constant of one second.
        self.urgent_sum = self.urgent_sum * (-passed).exp() + 1.0;
        self.last_urgent = Some(now);
    }

    /// Urgent requests per second, averaged over about one second.
    #[must_use]
    pub fn urgent_rate(&self, now: Instant) -> f64 {
        let passed = self
            .last_urgent
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.urgent_sum * (-passed).exp()
    }

    /// Finishes per second while requests are queued; estimated from the mean run time and
    /// `capacity` slots if that was never measured.
    #[must_use]
    pub fn rate(&self, capacity: u32) -> Option<f64> {
        let estimated = self
            .run_time
            .map(|run| f64::from(capacity) / run.max(0.001));
        self.rate.or(estimated).filter(|rate| *rate > 0.0)
    }

    /// Finishes per second while requests are queued; none if that was never measured.
    #[must_use]
    pub fn measured_rate(&self) -> Option<f64> {
        self.rate.filter(|rate| *rate > 0.0)
    }

    /// Mean run time in seconds.
    #[must_use]
    pub const fn run_time(&self) -> Option<f64> {
        self.run_time
    }

    /// Longest recent time between two finishes while requests were queued, in seconds, the
    /// current gap included.
    #[must_use]
    pub fn longest_gap(&self, now: Instant) -> Option<f64> {
        let current = self.window.and(self.last_finish);
        let current =
            current.map(|last_finish| now.saturating_duration_since(last_finish).as_secs_f64());
        self.gap.map(|gap| gap.max(current.unwrap_or(0.0)))
    }

    fn stretch_gap(&mut self, now: Instant) {
        let passed = self.last_finish.map_or(0.0, |last_finish| {
            now.saturating_duration_since(last_finish).as_secs_f64()
        });
        let old = self.gap.unwrap_or(0.0) * 0.5_f64.powf(passed / GAP_HALF_LIFE_S);
        self.gap = Some(old.max(passed));
    }
}

fn moving_average(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + SAMPLE_WEIGHT * (sample - old))
}
