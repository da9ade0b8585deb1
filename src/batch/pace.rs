//! How fast tasks that fill may work beside tasks that serve.

/// Share of its target up to which a tail leaves room for more fill work, in hundredths.
const LOW_PERCENT: u64 = 60;
/// Share of its target from which on fill work is slowed down, in hundredths.
const HIGH_PERCENT: u64 = 85;
/// What fill work gains at each calm look, in hundredths of its full speed.
const RISE_PERCENT: u64 = 10;

/// A look at the tasks that serve on an executor: the largest tail against its target, in
/// hundredths; `None` if none serves there.
#[must_use]
pub fn max_latency_percent(tails: impl Iterator<Item = (u64, u64)>) -> Option<u64> {
    let shares = tails.map(|(tail, target)| tail * 100 / target.max(1));
    shares.max()
}

/// The pace after a look, in hundredths of full speed. It falls fast and rises slowly, since a
/// tail follows the pace only after a while.
#[must_use]
pub fn next_percent(pace: u64, strain: Option<u64>) -> u64 {
    match strain {
        None => 100,
        Some(strain) if strain >= 100 => pace / 4,
        Some(strain) if strain >= HIGH_PERCENT => pace * 2 / 3,
        Some(strain) if strain <= LOW_PERCENT => (pace + RISE_PERCENT).min(100),
        Some(_) => pace,
    }
}
