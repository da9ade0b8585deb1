//! Throttles best-effort tasks on executors whose serving tasks miss their latency targets.

use slog::info;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::OrderError;
use crate::batch::Pace;
use crate::batch::TaskId;
use crate::batch::pace;
use crate::batch::run_state::Phase;
use crate::name::ExecutorId;

impl Dispatcher {
    /// Sets the pace of best-effort tasks on an executor by the tail latencies of its serving
    /// tasks.
    pub(super) fn pace(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let serving = executor.runs.values();
        let serving = serving.filter(|run_state| matches!(run_state.phase, Phase::Running(_)));
        let tails = serving.filter_map(|run_state| Some((run_state.measured, run_state.target?)));
        let latency = pace::max_latency_percent(tails);
        let target = executor.target(id);
        for (&(task, run), run_state) in &mut executor.runs {
            if !run_state.best_effort
                || !matches!(run_state.phase, Phase::Running(_))
                || run_state.pace_pending
            {
                continue;
            }
            let percent = pace::next_percent(run_state.pace, latency);
            if percent == run_state.pace {
                continue;
            }
            info!(self.log, "changing pace"; "task" => %task, "run" => run, "executor" => %id,
                "percent" => percent, "was" => run_state.pace, "strain" => latency);
            run_state.pace_pending = true;
            let order = Pace {
                target: target.clone(),
                task,
                run,
                percent,
            };
            self.actions.push(Action::Pace(order));
        }
    }

    pub(super) fn on_paced(&mut self, order: &Pace, result: Result<(), OrderError>) {
        let id = &order.target.executor;
        if result == Err(OrderError::Fenced) {
            return self.on_fenced(&order.target);
        }
        let key: (TaskId, u64) = (order.task, order.run);
        let run_state = self
            .executors
            .get_mut(id)
            .and_then(|executor| executor.runs.get_mut(&key));
        let Some(run_state) = run_state else {
            return;
        };
        run_state.pace_pending = false;
        if result.is_ok() {
            run_state.pace = order.percent;
        }
    }
}
