//! One step of a job.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Resources;

/// Tasks of a job that are alike and may run side by side.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub demand: Resources,
    /// Rough duration of a task, in milliseconds.
    pub estimate: u64,
    /// Earlier steps that must be done first, counted from 0.
    pub after: Vec<u32>,
    /// The tasks save their progress.
    pub checkpoint: bool,
    /// The tasks work only together and end together.
    pub gang: bool,
    /// The tasks are slow when they run on more than one rack.
    pub together: bool,
    /// Label that a host must have.
    pub label: Option<Arc<str>>,
    /// Rack where the data is; the tasks are slow elsewhere.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step on one executor.
    pub spread: Option<u32>,
    /// Copies may run side by side; the first that ends counts.
    pub speculative: bool,
    /// The tasks run until the job is cancelled and are restarted however they end.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// The tasks serve users of their own: longest tail of their response times, in milliseconds.
    pub target: Option<u64>,
    /// The tasks take only processor time that others leave unused.
    pub fills: bool,
    /// Most tasks that may be away at once because of planned work.
    pub away: Option<u32>,
}

impl Step {
    /// Whether a task can be started wherever there is room for it.
    #[must_use]
    pub const fn is_plain(&self) -> bool {
        !self.gang && self.label.is_none() && self.spread.is_none()
    }

    /// What a task takes off its executor's capacity.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        Resources {
            cpu: if self.fills { 0 } else { self.demand.cpu },
            ..self.demand
        }
    }
}
