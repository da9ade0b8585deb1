//! Changes of a host's health.

/// A change of a host's health status that followed from an attempt's evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The host gets no more requests until its trial.
    Ejected,
    /// The host failed its trial request and stays ejected.
    TrialFailed,
    /// The host served its trial request and gets requests again.
    Readmitted,
}
