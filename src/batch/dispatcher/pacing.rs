//! Slows tasks that fill down where tasks that serve suffer.

use slog::info;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::OrderError;
use crate::batch::Pace;
use crate::batch::Target;
use crate::batch::TaskId;
use crate::batch::pace;
use crate::batch::run_state::Phase;
use crate::name::ExecutorId;

impl Dispatcher {
    /// Sets the pace of fill work on an executor by what its serving tasks' tails are.
    pub(super) fn pace(&mut self, id: &ExecutorId) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        let serving = seat.slots.values();
        let serving = serving.filter(|slot| matches!(slot.phase, Phase::Running(_)));
        let tails = serving.filter_map(|slot| Some((slot.gauge, slot.target?)));
        let strain = pace::strain(tails);
        let target = Target {
            executor: id.clone(),
            addr: seat.addr,
            fence: self.fence,
        };
        for (&(task, run), slot) in &mut seat.slots {
            if !slot.fills || !matches!(slot.phase, Phase::Running(_)) || slot.pacing {
                continue;
            }
            let percent = pace::next(slot.pace, strain);
            if percent == slot.pace {
                continue;
            }
            info!(self.log, "pace"; "task" => %task, "run" => run, "executor" => %id,
                "percent" => percent, "was" => slot.pace, "strain" => strain);
            slot.pacing = true;
            let order = Pace {
                target: target.clone(),
                task,
                run,
                percent,
            };
            self.actions.push(Action::Pace(order));
        }
    }

    pub(super) fn paced(&mut self, order: &Pace, result: Result<(), OrderError>) {
        let id = &order.target.executor;
        if result == Err(OrderError::Fenced) {
            return self.fenced(id);
        }
        let key: (TaskId, u64) = (order.task, order.run);
        let slot = self
            .seats
            .get_mut(id)
            .and_then(|seat| seat.slots.get_mut(&key));
        let Some(slot) = slot else {
            return;
        };
        slot.pacing = false;
        if result.is_ok() {
            slot.pace = order.percent;
        }
    }
}
