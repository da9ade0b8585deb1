//! What a piece of evidence changed.

/// A change of a host's standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The host gets no further work.
    Ejected,
    /// The host failed its trial and stays ejected.
    TrialFailed,
    /// The host gets work again.
    Readmitted,
}
