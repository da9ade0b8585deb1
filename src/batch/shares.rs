//! Which jobs are within their team's share when all is full.

use std::collections::BTreeMap;

use crate::name::TeamName;

/// Thousandths of a job.
const JOB: u64 = 1_000;

/// What a team may hand in at once: jobs, in thousandths.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: u64,
    filled: u64,
}

/// The shares of all teams: each has a bucket that fills by its weight in jobs a second, and holds
/// what comes in over a second.
#[derive(Debug, Default)]
pub struct Shares {
    buckets: BTreeMap<TeamName, Bucket>,
}

impl Shares {
    /// Takes a job in that was accepted at `unix` (in milliseconds); returns whether it is within
    /// the share of a team of that weight. Jobs come in the order in which they were accepted.
    pub fn admit(&mut self, unix: u64, team: &TeamName, weight: u64) -> bool {
        let most = weight.max(1) * JOB;
        let bucket = self.buckets.entry(team.clone()).or_insert(Bucket {
            tokens: most,
            filled: unix,
        });
        // A weight in jobs a second is the same number of thousandths in a millisecond.
        let fresh = unix.saturating_sub(bucket.filled) * weight.max(1);
        bucket.tokens = (bucket.tokens + fresh).min(most);
        bucket.filled = bucket.filled.max(unix);
        let Some(left) = bucket.tokens.checked_sub(JOB) else {
            return false;
        };
        bucket.tokens = left;
        true
    }
}
