//! Why an executor gets no work.

use std::collections::BTreeMap;

/// Why an executor can't be given work now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// The platform does not list it.
    Unlisted,
    /// It is about to leave.
    Draining,
    /// Its host is to be moved or taken down, or its data centre is closed.
    Unusable,
    /// An order for its host has ended it.
    Retired,
    /// The log does not list it as one that may have work.
    Unassigned,
    /// It has not reported its runs.
    Unreported,
    /// Its last heartbeat failed.
    Silent,
    /// It is asked about an entry that differs from what is known.
    Unconfirmed,
    /// It refused work a moment ago, or a run on it stalled.
    BackingOff,
    /// Leases there may last longer than new ones, granted by orders to an earlier process.
    LongLease,
    /// An order to start is overdue for an answer.
    Overdue,
}

impl Obstacle {
    /// Name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::Draining => "draining",
            Self::Unusable => "unusable",
            Self::Retired => "retired",
            Self::Unassigned => "unassigned",
            Self::Unreported => "unreported",
            Self::Silent => "silent",
            Self::Unconfirmed => "unconfirmed",
            Self::BackingOff => "backing off",
            Self::LongLease => "long lease",
            Self::Overdue => "overdue",
        }
    }

    /// Counts obstacles; returns the counts as a text, empty if there are none.
    pub fn summary(obstacles: impl Iterator<Item = Self>) -> String {
        let mut counts: BTreeMap<Self, usize> = BTreeMap::new();
        for obstacle in obstacles {
            *counts.entry(obstacle).or_default() += 1;
        }
        let counts = counts.iter();
        let counts = counts.map(|(obstacle, count)| format!("{} {count}", obstacle.label()));
        counts.collect::<Vec<_>>().join(", ")
    }
}
