//! Decides which jobs are within their team's share while resources are short.

use std::collections::BTreeMap;

use crate::name::TeamName;

/// Tokens for one job; a token is a thousandth of a job.
const JOB_TOKENS: u64 = 1_000;

/// Token bucket of a team.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: u64,
    filled_unix: u64,
}

/// Shares of all teams. Each team has a token bucket that fills at a rate of its weight in jobs per
/// second and holds at most what it gains in one second.
#[derive(Debug, Default)]
pub struct Shares {
    buckets: BTreeMap<TeamName, Bucket>,
}

impl Shares {
    /// Charges a job that was accepted at `unix` (in milliseconds) to its team; returns whether it
    /// is within the share of a team with that weight. Call it in the order of acceptance.
    pub fn admit(&mut self, unix: u64, team: &TeamName, weight: u64) -> bool {
        let capacity = weight.max(1).saturating_mul(JOB_TOKENS);
        let bucket = self.buckets.entry(team.clone()).or_insert(Bucket {
            tokens: capacity,
            filled_unix: unix,
        });
        // A rate in jobs per second equals the same number of tokens per millisecond.
        let fresh = unix.saturating_sub(bucket.filled_unix);
        let fresh = fresh.saturating_mul(weight.max(1));
        bucket.tokens = bucket.tokens.saturating_add(fresh).min(capacity);
        bucket.filled_unix = bucket.filled_unix.max(unix);
        let Some(left) = bucket.tokens.checked_sub(JOB_TOKENS) else {
            return false;
        };
        bucket.tokens = left;
        true
    }
}
