//! The listeners of a process.

/// A listener of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// Clients' requests.
    Front,
    /// Requests of the system's other processes.
    Control,
    /// The readiness probe.
    Ready,
    /// Scrapes of the metrics.
    Metrics,
}

/// What a listener may take of its process's machine, in parts of [`Listener::WHOLE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Part {
    /// Of the memory.
    pub(super) memory: usize,
    /// Of the descriptors that are not for files.
    pub(super) descriptors: usize,
}

impl Listener {
    /// All listeners.
    pub const ALL: [Self; 4] = [Self::Front, Self::Control, Self::Ready, Self::Metrics];
    /// Number of parts of a machine.
    pub(super) const WHOLE: usize = 32;

    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Front => "front",
            Self::Control => "control",
            Self::Ready => "ready",
            Self::Metrics => "metrics",
        }
    }

    /// What the listener may take. All together leave the rest of the machine to the process itself
    /// and to its connections to others.
    pub(super) const fn part(self) -> Part {
        let (memory, descriptors) = match self {
            Self::Front => (8, 16),
            Self::Control => (4, 4),
            Self::Ready | Self::Metrics => (1, 1),
        };
        Part {
            memory,
            descriptors,
        }
    }
}
