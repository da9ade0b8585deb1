//! Jobs that need room outside the cells that the log grants them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::Cells;
use crate::batch::JobId;
use crate::batch::executor_capacity::ExecutorCapacity;
use crate::batch::executor_capacity::StepPlacement;

/// How long room is kept for a job whose further cells are on their way into the log, in
/// milliseconds. Others take it if the log is slow.
const RESERVE_MS: u64 = 60;
/// A job that has as many cells gets all of them if these are not enough.
const MANY_CELLS: u32 = 4;

/// Finds further cells for jobs.
#[derive(Debug, Default)]
pub struct Widening {
    // When further cells were asked for that are not in the log yet.
    requested: BTreeMap<JobId, Instant>,
    wanted: Vec<(JobId, Cells)>,
}

impl Widening {
    /// Finds room outside a job's cells for `count` tasks, and keeps it while the log is told;
    /// returns whether there may be room for all.
    pub fn widen(
        &mut self,
        now: Instant,
        id: JobId,
        executors: &mut [ExecutorCapacity],
        placement: &mut StepPlacement,
        count: usize,
    ) -> bool {
        let requested = self.requested.get(&id).copied();
        if requested.is_some_and(|at| now > at + Duration::from_millis(RESERVE_MS)) {
            return true;
        }
        let had = std::mem::replace(&mut placement.cells, Cells::ALL);
        let mut cells = Cells::NONE;
        let mut found = 0;
        while found < count
            && let Some(cell) = placement.take_cell(executors)
        {
            cells = cells.with(cell);
            found += 1;
        }
        if requested.is_none() && found > 0 {
            let cells = if had.len() < MANY_CELLS {
                cells
            } else {
                Cells::ALL
            };
            self.requested.insert(id, now);
            self.wanted.push((id, cells));
        }
        found == count
    }

    /// The cells to ask the log for.
    pub fn take(&mut self) -> Vec<(JobId, Cells)> {
        std::mem::take(&mut self.wanted)
    }

    /// What was asked for a job is in the log.
    pub fn on_granted(&mut self, id: JobId) {
        self.requested.remove(&id);
    }
}
