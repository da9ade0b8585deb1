//! Jobs that need room outside the cells that the log grants them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::JobId;
use crate::batch::Partitions;
use crate::batch::executor_capacity::ExecutorCapacity;
use crate::batch::executor_capacity::Wish;

/// How long room is kept for a job whose further cells are on their way into the log, in
/// milliseconds. Others take it if the log is slow.
const KEEP_MS: u64 = 60;
/// A job that has as many cells gets all of them if these are not enough.
const WIDE: u32 = 4;

/// Finds further cells for jobs.
#[derive(Debug, Default)]
pub struct Widening {
    // When further cells were asked for that are not in the log yet.
    asked: BTreeMap<JobId, Instant>,
    wanted: Vec<(JobId, Partitions)>,
}

impl Widening {
    /// Finds room outside a job's cells for `count` tasks, and keeps it while the log is told;
    /// returns whether there may be room for all.
    pub fn widen(
        &mut self,
        now: Instant,
        id: JobId,
        rooms: &mut [ExecutorCapacity],
        wish: &mut Wish,
        count: usize,
    ) -> bool {
        let asked = self.asked.get(&id).copied();
        if asked.is_some_and(|at| now > at + Duration::from_millis(KEEP_MS)) {
            return true;
        }
        let had = std::mem::replace(&mut wish.within, Partitions::ALL);
        let mut partitions = Partitions::NONE;
        let mut found = 0;
        while found < count
            && let Some(partition) = wish.take_partition(rooms)
        {
            partitions = partitions.union(partition);
            found += 1;
        }
        if asked.is_none() && found > 0 {
            let partitions = if had.len() < WIDE {
                partitions
            } else {
                Partitions::ALL
            };
            self.asked.insert(id, now);
            self.wanted.push((id, partitions));
        }
        found == count
    }

    /// The cells to ask the log for.
    pub fn take(&mut self) -> Vec<(JobId, Partitions)> {
        std::mem::take(&mut self.wanted)
    }

    /// What was asked for a job is in the log.
    pub fn settle(&mut self, id: JobId) {
        self.asked.remove(&id);
    }
}
