//! Speed at which best-effort tasks may work beside serving tasks.

/// Tail latency up to which best-effort tasks are sped up, in percent of its target.
const LOW_PERCENT: u64 = 60;
/// Tail latency from which best-effort tasks are slowed down, in percent of its target.
const HIGH_PERCENT: u64 = 85;
/// Step by which best-effort tasks are sped up, in percent of full speed.
const RISE_PERCENT: u64 = 10;

/// Returns the highest tail latency of an executor's serving tasks, in percent of its target. Takes
/// pairs of tail and target, in milliseconds; `None` if there are no serving tasks.
#[must_use]
pub fn max_latency_percent(tails: impl Iterator<Item = (u64, u64)>) -> Option<u64> {
    let shares = tails.map(|(tail, target)| tail * 100 / target.max(1));
    shares.max()
}

/// Returns the next pace of best-effort tasks, in percent of full speed. It falls fast and rises
/// slowly, since tail latency follows the pace with a delay.
#[must_use]
pub fn next_percent(pace: u64, latency: Option<u64>) -> u64 {
    match latency {
        None => 100,
        Some(latency) if latency >= 100 => pace / 4,
        Some(latency) if latency >= HIGH_PERCENT => pace * 2 / 3,
        Some(latency) if latency <= LOW_PERCENT => (pace + RISE_PERCENT).min(100),
        Some(_) => pace,
    }
}
