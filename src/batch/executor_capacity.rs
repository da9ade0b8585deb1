//! Executors that take new work, and the room that they have.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::batch::Cells;
use crate::batch::Executor;
use crate::batch::Resources;
use crate::batch::Step;
use crate::batch::advisor::Tickets;
use crate::name::ExecutorId;
use crate::name::ServiceName;

/// An executor and what is taken of it.
#[derive(Debug, Clone)]
pub struct ExecutorCapacity {
    info: Rc<Executor>,
    used: Resources,
    lasting: usize,
    cell: Cells,
}

impl ExecutorCapacity {
    /// An executor of whose capacity `used` is taken, by `lasting` tasks that last and others.
    #[must_use]
    pub const fn new(info: Rc<Executor>, cell: Cells, used: Resources, lasting: usize) -> Self {
        Self {
            info,
            used,
            lasting,
            cell,
        }
    }

    /// The cell that the executor belongs to.
    #[must_use]
    pub const fn cell(&self) -> Cells {
        self.cell
    }

    /// The executor.
    #[must_use]
    pub fn id(&self) -> &ExecutorId {
        &self.info.id
    }

    /// Takes room for a task of a step.
    pub fn take(&mut self, step: &Step) {
        self.used.add(&step.reserved());
        self.lasting += usize::from(step.lasting);
    }

    /// Whether a task of a step can be started there.
    #[must_use]
    pub fn can_run(&self, step: &Step) -> bool {
        let label = step.label.as_deref();
        let fits = step.reserved().fits(&self.used, &self.info.capacity);
        fits && label.is_none_or(|label| self.has_label(label))
    }

    fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|own| **own == *label)
    }

    /// Share of its processor that is taken, in thousandths.
    fn load(&self) -> u64 {
        let load = (self.used.cpu * 1_000).checked_div(self.info.capacity.cpu);
        load.unwrap_or(0)
    }
}

/// The rooms of all services.
#[derive(Debug, Default)]
pub struct SiteCapacity {
    services: BTreeMap<ServiceName, Vec<ExecutorCapacity>>,
    // Demands for which a service has no room left.
    full: BTreeMap<ServiceName, Resources>,
}

impl SiteCapacity {
    /// Adds a room.
    pub fn add(&mut self, executor: ExecutorCapacity) {
        if let Some(executors) = self.services.get_mut(&executor.info.service) {
            return executors.push(executor);
        }
        self.services
            .insert(executor.info.service.clone(), vec![executor]);
    }

    /// The rooms of a service.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> &[ExecutorCapacity] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Notes that a service has no room for a demand.
    pub fn note_full(&mut self, service: &ServiceName, demand: Resources) {
        self.full.insert(service.clone(), demand);
    }

    /// Whether it is known that a service has no room for a demand.
    #[must_use]
    pub fn is_known_full(&self, service: &ServiceName, demand: &Resources) -> bool {
        let full = self.full.get(service);
        full.is_some_and(|full| full.is_within(demand))
    }

    /// The rooms of a service, to take from.
    pub fn of_mut(&mut self, service: &ServiceName) -> &mut [ExecutorCapacity] {
        let executors = self.services.get_mut(service);
        executors.map_or(&mut [], Vec::as_mut_slice)
    }
}

/// A step whose tasks are to be placed.
#[derive(Debug)]
pub struct StepPlacement<'a> {
    /// The step.
    pub step: &'a Step,
    /// Executors on which the advice service allows it; `None` if all may run it.
    pub good: Option<&'a Tickets>,
    /// Tasks of it on each room.
    pub task_counts: Vec<u32>,
    /// Where its tasks may be started.
    pub cells: Cells,
}

impl<'a> StepPlacement<'a> {
    /// A step of which tasks run on `placed` already, to be placed in any cell.
    pub fn new<'b>(
        step: &'a Step,
        good: Option<&'a Tickets>,
        executors: &[ExecutorCapacity],
        placed: impl Iterator<Item = &'b ExecutorId>,
    ) -> Self {
        let mut task_counts = vec![0; executors.len()];
        for id in placed {
            let here = executors.iter().position(|executor| executor.id() == id);
            if let Some(at) = here {
                task_counts[at] += 1;
            }
        }
        Self {
            step,
            good,
            task_counts,
            cells: Cells::ALL,
        }
    }

    /// The room on which the next task is best started, if there is any; the room is taken.
    pub fn take(&mut self, executors: &mut [ExecutorCapacity]) -> Option<ExecutorId> {
        let at = self.reserve(executors)?;
        Some(executors[at].id().clone())
    }

    /// As [`Self::take`], but tells the cell alone.
    pub fn take_cell(&mut self, executors: &mut [ExecutorCapacity]) -> Option<Cells> {
        let at = self.reserve(executors)?;
        Some(executors[at].cell())
    }

    fn reserve(&mut self, executors: &mut [ExecutorCapacity]) -> Option<usize> {
        let at = self.best(executors)?;
        executors[at].take(self.step);
        self.task_counts[at] += 1;
        Some(at)
    }

    /// The room on which the next task is best started, if there is any.
    #[must_use]
    pub fn best(&self, executors: &[ExecutorCapacity]) -> Option<usize> {
        let fitting = executors.iter().enumerate().filter(|&(at, executor)| {
            let spread = self.step.spread;
            spread.is_none_or(|most| self.task_counts[at] < most)
                && self.cells.meets(executor.cell)
                && executor.can_run(self.step)
                && self
                    .good
                    .is_none_or(|good| good.contains_key(executor.id()))
        });
        let best = fitting.min_by_key(|&(at, executor)| {
            // Packed on few hosts, tasks leave others empty, and these can leave the pool.
            let lasting = if self.step.lasting {
                executor.lasting
            } else {
                0
            };
            let rack = self.step.rack.as_deref();
            let off_rack = rack.is_some_and(|rack| !executor.has_label(rack));
            (
                off_rack,
                Reverse(lasting),
                Reverse(executor.load()),
                self.task_counts[at],
            )
        });
        best.map(|(at, _)| at)
    }
}
