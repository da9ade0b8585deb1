//! Executors that take new work, and the room that they have.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::batch::Executor;
use crate::batch::Partitions;
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
    partition: Partitions,
}

impl ExecutorCapacity {
    /// An executor of whose capacity `used` is taken, by `lasting` tasks that last and others.
    #[must_use]
    pub const fn new(
        info: Rc<Executor>,
        partition: Partitions,
        used: Resources,
        lasting: usize,
    ) -> Self {
        Self {
            info,
            used,
            lasting,
            partition,
        }
    }

    /// The cell that the executor belongs to.
    #[must_use]
    pub const fn partition(&self) -> Partitions {
        self.partition
    }

    /// The executor.
    #[must_use]
    pub fn executor(&self) -> &ExecutorId {
        &self.info.id
    }

    /// Takes room for a task of a step.
    pub fn take(&mut self, step: &Step) {
        self.used.add(&step.reserved());
        self.lasting += usize::from(step.lasting);
    }

    /// Whether a task of a step can be started there.
    #[must_use]
    pub fn suits(&self, step: &Step) -> bool {
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
    refused: BTreeMap<ServiceName, Resources>,
}

impl SiteCapacity {
    /// Adds a room.
    pub fn add(&mut self, room: ExecutorCapacity) {
        if let Some(rooms) = self.services.get_mut(&room.info.service) {
            return rooms.push(room);
        }
        self.services.insert(room.info.service.clone(), vec![room]);
    }

    /// The rooms of a service.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> &[ExecutorCapacity] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Notes that a service has no room for a demand.
    pub fn refuse(&mut self, service: &ServiceName, demand: Resources) {
        self.refused.insert(service.clone(), demand);
    }

    /// Whether it is known that a service has no room for a demand.
    #[must_use]
    pub fn refuses(&self, service: &ServiceName, demand: &Resources) -> bool {
        let refused = self.refused.get(service);
        refused.is_some_and(|refused| refused.is_within(demand))
    }

    /// The rooms of a service, to take from.
    pub fn of_mut(&mut self, service: &ServiceName) -> &mut [ExecutorCapacity] {
        let rooms = self.services.get_mut(service);
        rooms.map_or(&mut [], Vec::as_mut_slice)
    }
}

/// A step whose tasks are to be placed.
#[derive(Debug)]
pub struct Wish<'a> {
    /// The step.
    pub step: &'a Step,
    /// Executors on which the advice service allows it; `None` if all may run it.
    pub good: Option<&'a Tickets>,
    /// Tasks of it on each room.
    pub beside: Vec<u32>,
    /// Where its tasks may be started.
    pub within: Partitions,
}

impl<'a> Wish<'a> {
    /// A step of which tasks run on `placed` already, to be placed in any cell.
    pub fn new<'b>(
        step: &'a Step,
        good: Option<&'a Tickets>,
        rooms: &[ExecutorCapacity],
        placed: impl Iterator<Item = &'b ExecutorId>,
    ) -> Self {
        let mut beside = vec![0; rooms.len()];
        for executor in placed {
            let here = rooms.iter().position(|room| room.executor() == executor);
            if let Some(at) = here {
                beside[at] += 1;
            }
        }
        Self {
            step,
            good,
            beside,
            within: Partitions::ALL,
        }
    }

    /// The room on which the next task is best started, if there is any; the room is taken.
    pub fn take(&mut self, rooms: &mut [ExecutorCapacity]) -> Option<ExecutorId> {
        let at = self.reserve(rooms)?;
        Some(rooms[at].executor().clone())
    }

    /// As [`Self::take`], but tells the cell alone.
    pub fn take_partition(&mut self, rooms: &mut [ExecutorCapacity]) -> Option<Partitions> {
        let at = self.reserve(rooms)?;
        Some(rooms[at].partition())
    }

    fn reserve(&mut self, rooms: &mut [ExecutorCapacity]) -> Option<usize> {
        let at = self.best(rooms)?;
        rooms[at].take(self.step);
        self.beside[at] += 1;
        Some(at)
    }

    /// The room on which the next task is best started, if there is any.
    #[must_use]
    pub fn best(&self, rooms: &[ExecutorCapacity]) -> Option<usize> {
        let fitting = rooms.iter().enumerate().filter(|&(at, room)| {
            let spread = self.step.spread;
            spread.is_none_or(|most| self.beside[at] < most)
                && self.within.intersects(room.partition)
                && room.suits(self.step)
                && self
                    .good
                    .is_none_or(|good| good.contains_key(room.executor()))
        });
        let best = fitting.min_by_key(|&(at, room)| {
            // Packed on few hosts, tasks leave others empty, and these can leave the pool.
            let lasting = if self.step.lasting { room.lasting } else { 0 };
            let rack = self.step.rack.as_deref();
            let far = rack.is_some_and(|rack| !room.has_label(rack));
            (far, Reverse(lasting), Reverse(room.load()), self.beside[at])
        });
        best.map(|(at, _)| at)
    }
}
