//! Work that the dispatcher has done.

/// Counts of the dispatcher's work since the beginning of its term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Effort {
    /// Looks for tasks to start.
    pub placements: u64,
    /// Placements that ended because too many starts were unanswered.
    pub limited: u64,
    /// Jobs that placements examined.
    pub candidates: u64,
    /// Jobs whose place in the backlog was computed again, and checks of one for due occurrences.
    pub ranked: u64,
    /// Runs started.
    pub starts: u64,
    /// Runs that ended.
    pub ends: u64,
}

impl Effort {
    /// Names of the counts in metrics, in the order of [`Self::counts`].
    pub const LABELS: [&'static str; 6] = [
        "placements",
        "limited",
        "candidates",
        "ranked",
        "starts",
        "ends",
    ];

    /// The counts, in the order of [`Self::LABELS`].
    #[must_use]
    pub const fn counts(&self) -> [u64; Self::LABELS.len()] {
        [
            self.placements,
            self.limited,
            self.candidates,
            self.ranked,
            self.starts,
            self.ends,
        ]
    }

    /// Work done since `earlier`.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            placements: self.placements - earlier.placements,
            limited: self.limited - earlier.limited,
            candidates: self.candidates - earlier.candidates,
            ranked: self.ranked - earlier.ranked,
            starts: self.starts - earlier.starts,
            ends: self.ends - earlier.ends,
        }
    }
}
