//! How fast a service's slots come free.

use std::time::Duration;
use std::time::Instant;

/// Shortest and longest time over which finishes are counted for one sample of the rate, in
/// milliseconds.
const WINDOW_MS: [u64; 2] = [100, 1_000];
/// Finishes that make a sample before the longest time is over.
const WINDOW_FINISHES: u32 = 16;
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Seconds after which a gap between finishes counts half.
const GAP_HALF_LIFE: f64 = 10.0;

/// Measures finishes while requests wait, and run times.
#[derive(Debug, Default)]
pub struct Drain {
    /// Start of the present window; none while nothing waits.
    window: Option<Instant>,
    finishes: u32,
    rate: Option<f64>,
    run: Option<f64>,
    /// Longest time between two finishes, in seconds, halved with time.
    gap: Option<f64>,
    last: Option<Instant>,
    urgent: f64,
    asked: Option<Instant>,
}

impl Drain {
    /// Counts the end of a run that began at `since`.
    pub fn finish(&mut self, now: Instant, since: Instant) {
        let run = now.saturating_duration_since(since).as_secs_f64();
        self.run = Some(mix(self.run, run));
        self.finishes += 1;
        if self.window.is_some() {
            self.stretch_gap(now);
        }
        self.last = Some(now);
    }

    /// Takes in whether requests wait for slots, and closes a window that is over.
    pub fn observe(&mut self, now: Instant, busy: bool) {
        if !busy {
            self.window = None;
            return;
        }
        let Some(start) = self.window else {
            self.window = Some(now);
            self.last = Some(now);
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
        self.rate = Some(mix(self.rate, sample));
        self.finishes = 0;
        self.window = Some(now);
    }

    /// Counts an urgent request.
    pub fn ask_urgent(&mut self, now: Instant) {
        let passed = self
            .asked
            .map_or(1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let passed = passed.max(f64::EPSILON);
        // Exponential average over a second of impulses.
        self.urgent = self.urgent * (-passed).exp() + 1.0;
        self.asked = Some(now);
    }

    /// Urgent requests a second.
    #[must_use]
    pub fn urgent_rate(&self, now: Instant) -> f64 {
        let passed = self
            .asked
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.urgent * (-passed).exp()
    }

    /// Finishes a second while requests wait; from run times if that was never seen.
    #[must_use]
    pub fn rate(&self, capacity: u32) -> Option<f64> {
        let by_run = self.run.map(|run| f64::from(capacity) / run.max(0.001));
        self.rate.or(by_run).filter(|rate| *rate > 0.0)
    }

    /// Finishes a second while requests wait, if that was seen.
    #[must_use]
    pub fn seen(&self) -> Option<f64> {
        self.rate.filter(|rate| *rate > 0.0)
    }

    /// Mean run time in seconds.
    #[must_use]
    pub const fn run(&self) -> Option<f64> {
        self.run
    }

    /// Longest recent time between two finishes while requests waited, in seconds.
    #[must_use]
    pub fn gap(&self, now: Instant) -> Option<f64> {
        let open = self.window.and(self.last);
        let open = open.map(|last| now.saturating_duration_since(last).as_secs_f64());
        self.gap.map(|gap| gap.max(open.unwrap_or(0.0)))
    }

    fn stretch_gap(&mut self, now: Instant) {
        let passed = self.last.map_or(0.0, |last| {
            now.saturating_duration_since(last).as_secs_f64()
        });
        let old = self.gap.unwrap_or(0.0) * 0.5_f64.powf(passed / GAP_HALF_LIFE);
        self.gap = Some(old.max(passed));
    }
}

fn mix(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + SAMPLE_WEIGHT * (sample - old))
}
