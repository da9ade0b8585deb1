//! Classes of jobs by their work.

/// Upper bounds of the classes in core-milliseconds, and their labels in core-seconds.
const BOUNDS: [(u64, &str); 6] = [
    (1_000, "1"),
    (4_000, "4"),
    (16_000, "16"),
    (64_000, "64"),
    (256_000, "256"),
    (u64::MAX, "more"),
];

/// Class of a job by its work. Each class but the last goes up to four times as much work as the
/// one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizeClass(usize);

impl SizeClass {
    /// Returns the class of a job of `work` core-milliseconds.
    #[must_use]
    pub fn of(work: u64) -> Self {
        let found = BOUNDS.iter().position(|&(bound, _)| work <= bound);
        Self(found.unwrap_or(BOUNDS.len() - 1))
    }

    /// Most work of a job of the class, in core-seconds; `more` for the last class.
    #[must_use]
    pub const fn label(self) -> &'static str {
        BOUNDS[self.0].1
    }
}
