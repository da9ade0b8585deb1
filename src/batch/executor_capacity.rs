//! Free capacity of the executors that can take new work, and the choice of one for a task.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use crate::batch::Executor;
use crate::batch::Partitions;
use crate::batch::Resources;
use crate::batch::Step;
use crate::name::ExecutorId;
use crate::name::ServiceName;

/// An executor and the resources in use there.
#[derive(Debug, Clone)]
pub struct ExecutorCapacity {
    info: Rc<Executor>,
    used: Resources,
    long_running: usize,
    partition: Partitions,
    // Its host is due for maintenance.
    due: bool,
}

impl ExecutorCapacity {
    /// Creates an entry for an executor with `used` resources in use, in part by `long_running`
    /// long-running tasks. Its host is `due` if it is to be maintained and has not been yet.
    #[must_use]
    pub const fn new(
        info: Rc<Executor>,
        partition: Partitions,
        used: Resources,
        long_running: usize,
        due: bool,
    ) -> Self {
        Self {
            info,
            used,
            long_running,
            partition,
            due,
        }
    }

    /// Returns the partition of the executor.
    #[must_use]
    pub const fn partition(&self) -> Partitions {
        self.partition
    }

    /// Returns the id of the executor.
    #[must_use]
    pub fn id(&self) -> &ExecutorId {
        &self.info.id
    }

    /// Reserves the resources of a task of `step`.
    pub fn reserve(&mut self, step: &Step) {
        self.used.add(&step.reserved());
        self.long_running += usize::from(step.long_running);
    }

    /// Whether the executor has the capacity and the label for a task of `step`.
    #[must_use]
    pub fn can_run(&self, step: &Step) -> bool {
        let label = step.label.as_deref();
        let fits = step.reserved().fits(&self.used, &self.info.capacity);
        fits && label.is_none_or(|label| self.has_label(label))
    }

    fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|own| **own == *label)
    }

    /// Returns the resources that are not in use.
    fn free(&self) -> Resources {
        let mut free = self.info.capacity;
        free.sub(&self.used);
        free
    }

    /// Returns the share of its CPU that is in use, in thousandths.
    fn load(&self) -> u64 {
        let load = self
            .used
            .cpu
            .saturating_mul(1_000)
            .checked_div(self.info.capacity.cpu);
        load.unwrap_or(0)
    }
}

/// Free capacity of a site's executors, by service.
#[derive(Debug, Default)]
pub struct SiteCapacity {
    services: BTreeMap<ServiceName, Vec<ExecutorCapacity>>,
    // Most of each resource that is free on any executor of a service.
    largest: BTreeMap<ServiceName, Resources>,
    // Latest demand of each service for which there was no capacity.
    full: BTreeMap<ServiceName, Resources>,
}

impl SiteCapacity {
    /// Adds an executor to its service.
    pub fn add(&mut self, executor: ExecutorCapacity) {
        let free = executor.free();
        if let Some(largest) = self.largest.get_mut(&executor.info.service) {
            *largest = largest.max(&free);
        } else {
            self.largest.insert(executor.info.service.clone(), free);
        }
        if let Some(executors) = self.services.get_mut(&executor.info.service) {
            return executors.push(executor);
        }
        self.services
            .insert(executor.info.service.clone(), vec![executor]);
    }

    /// Returns the executors of a service; empty if there are none.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> &[ExecutorCapacity] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether an executor of a service may have had the capacity for a demand when it was added.
    #[must_use]
    pub fn may_fit(&self, service: &ServiceName, demand: &Resources) -> bool {
        let largest = self.largest.get(service).copied().unwrap_or_default();
        demand.is_within(&largest)
    }

    /// Notes that a service has no capacity for a demand. The latest such demand is kept.
    pub fn note_full(&mut self, service: &ServiceName, demand: Resources) {
        self.full.insert(service.clone(), demand);
    }

    /// Whether a service is known to have no capacity for a demand: a demand no larger in any
    /// resource was noted as too large for it.
    #[must_use]
    pub fn is_known_full(&self, service: &ServiceName, demand: &Resources) -> bool {
        let full = self.full.get(service);
        full.is_some_and(|full| full.is_within(demand))
    }

    /// Whether a service is known to have no capacity for a demand or for any that is as large in
    /// each resource.
    #[must_use]
    pub fn is_full_for(&self, service: &ServiceName, demand: &Resources) -> bool {
        !self.may_fit(service, demand) || self.is_known_full(service, demand)
    }

    /// Returns the executors of a service, to reserve resources on.
    pub fn of_mut(&mut self, service: &ServiceName) -> &mut [ExecutorCapacity] {
        let executors = self.services.get_mut(service);
        executors.map_or(&mut [], Vec::as_mut_slice)
    }
}

/// Placement of the tasks of one step.
#[derive(Debug)]
pub struct StepPlacement<'a> {
    /// Step whose tasks are placed.
    pub step: &'a Step,
    /// Executors on which the advice service allows the step; `None` if all may run it.
    pub permitted: Option<&'a BTreeSet<ExecutorId>>,
    /// Number of the step's tasks on each executor, in the order of the executors.
    pub task_counts: Vec<u32>,
    /// Partitions in which its tasks may be started.
    pub partitions: Partitions,
    /// Executor on which the next task must not be started.
    pub avoided: Option<&'a ExecutorId>,
}

impl<'a> StepPlacement<'a> {
    /// Creates a placement in any partition for a step that already has tasks on `placed`, one item
    /// per task.
    pub fn new<'b>(
        step: &'a Step,
        permitted: Option<&'a BTreeSet<ExecutorId>>,
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
            permitted,
            task_counts,
            partitions: Partitions::ALL,
            avoided: None,
        }
    }

    /// Selects the best executor for the next task, if there is any, and reserves the resources.
    pub fn place(&mut self, executors: &mut [ExecutorCapacity]) -> Option<ExecutorId> {
        let at = self.reserve(executors)?;
        Some(executors[at].id().clone())
    }

    /// Does the same as [`Self::place`], but returns the executor's partition.
    pub fn take_partition(&mut self, executors: &mut [ExecutorCapacity]) -> Option<Partitions> {
        let at = self.reserve(executors)?;
        Some(executors[at].partition())
    }

    fn reserve(&mut self, executors: &mut [ExecutorCapacity]) -> Option<usize> {
        let at = self.best(executors)?;
        executors[at].reserve(self.step);
        self.task_counts[at] += 1;
        Some(at)
    }

    /// Executors in any partition that could take the next task, whatever the advice service says of
    /// them.
    pub fn candidates<'b>(
        &self,
        executors: &'b [ExecutorCapacity],
    ) -> impl Iterator<Item = &'b ExecutorId> {
        let fitting = executors.iter().enumerate();
        let fitting = fitting.filter(|&(at, executor)| self.could_take(at, executor));
        fitting.map(|(_, executor)| executor.id())
    }

    fn could_take(&self, at: usize, executor: &ExecutorCapacity) -> bool {
        self.step
            .spread
            .is_none_or(|most| self.task_counts[at] < most)
            && self.avoided != Some(executor.id())
            && executor.can_run(self.step)
    }

    /// Returns the index of the best executor for the next task, if there is any.
    #[must_use]
    pub fn best(&self, executors: &[ExecutorCapacity]) -> Option<usize> {
        let fitting = executors.iter().enumerate().filter(|&(at, executor)| {
            self.could_take(at, executor)
                && self.partitions.intersects(executor.partition)
                && self
                    .permitted
                    .is_none_or(|permitted| permitted.contains(executor.id()))
        });
        let best = fitting.min_by_key(|&(at, executor)| {
            // A long-running task would soon have to leave a host that is due.
            let leaves = self.step.long_running && executor.due;
            // Bin packing: hosts that are left empty can be moved to other pools.
            let long_running = if self.step.long_running {
                executor.long_running
            } else {
                0
            };
            let rack = self.step.rack.as_deref();
            let off_rack = rack.is_some_and(|rack| !executor.has_label(rack));
            (
                off_rack,
                leaves,
                Reverse(long_running),
                Reverse(executor.load()),
                self.task_counts[at],
            )
        });
        best.map(|(at, _)| at)
    }
}
