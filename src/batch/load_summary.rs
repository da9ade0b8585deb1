//! An owner's load in an interval.

use std::time::Duration;

use slog::Logger;
use slog::info;

use crate::batch::Effort;
use crate::batch::OwnerTask;

/// An owner's load in an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSummary {
    /// Length of the interval.
    pub span: Duration,
    /// Longest time for which a message waited to be handled.
    pub lag: Duration,
    /// Messages handled.
    pub messages: u64,
    /// Most messages handled in one round.
    pub most_messages: u64,
    /// Time spent on each task, in the order of [`OwnerTask::ALL`].
    pub spent: [Duration; OwnerTask::ALL.len()],
    /// Work of the dispatcher.
    pub effort: Effort,
}

impl LoadSummary {
    /// Time spent on a task.
    #[must_use]
    pub const fn spent_on(&self, task: OwnerTask) -> Duration {
        self.spent[task.index()]
    }

    /// Time spent on all tasks, in percent of the interval. The rest went to other work of the
    /// process, or it waited for messages or for the processor.
    #[must_use]
    pub fn busy_percent(&self) -> u64 {
        let busy: Duration = self.spent.iter().sum();
        let percent = busy.as_micros() * 100;
        let percent = percent.checked_div(self.span.as_micros()).unwrap_or(0);
        u64::try_from(percent).unwrap_or(u64::MAX)
    }

    /// Logs it, with the number of jobs that have not ended.
    pub fn log(&self, log: &Logger, active: usize) {
        let spent = OwnerTask::ALL.map(|task| {
            let ms = self.spent_on(task).as_millis();
            format!("{}={ms}", task.label())
        });
        let effort = &self.effort;
        info!(log, "owner load"; "span_ms" => self.span.as_millis() as u64,
            "lag_ms" => self.lag.as_millis() as u64, "messages" => self.messages,
            "most_messages" => self.most_messages, "busy_percent" => self.busy_percent(),
            "spent_ms" => spent.join(" "), "placements" => effort.placements,
            "limited" => effort.limited,
            "candidates" => effort.candidates, "ranked" => effort.ranked, "active" => active,
            "starts" => effort.starts, "ends" => effort.ends);
    }
}
