//! Grants of further partitions to jobs that lack capacity in their own.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::JobId;
use crate::batch::Partitions;
use crate::batch::executor_capacity::ExecutorCapacity;
use crate::batch::executor_capacity::StepPlacement;

/// Time for which capacity is reserved for a job while the grant of its further partitions is being
/// appended to the log, in milliseconds. After that, other jobs may use it.
const RESERVE_MS: u64 = 60;
/// Number of partitions from which on a job that needs more is granted all.
const MANY_PARTITIONS: u32 = 4;

/// Grants of further partitions to jobs: those to request and those that are being appended.
#[derive(Debug, Default)]
pub struct Widening {
    // When grants were requested that are not in the log yet.
    requested: BTreeMap<JobId, Instant>,
    wanted: Vec<(JobId, Partitions)>,
}

impl Widening {
    /// Reserves capacity for `count` tasks in any partition, and requests these partitions for the
    /// job unless a request is pending. Returns whether there may be capacity for all of the tasks.
    /// The placement may use all partitions afterwards.
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
        let had = std::mem::replace(&mut placement.partitions, Partitions::ALL);
        let mut partitions = Partitions::NONE;
        let mut found = 0;
        while found < count
            && let Some(partition) = placement.take_partition(executors)
        {
            partitions = partitions.union(partition);
            found += 1;
        }
        if requested.is_none() && found > 0 {
            let partitions = if had.len() < MANY_PARTITIONS {
                partitions
            } else {
                Partitions::ALL
            };
            self.requested.insert(id, now);
            self.wanted.push((id, partitions));
        }
        found == count
    }

    /// Takes the grants to request.
    pub fn take(&mut self) -> Vec<(JobId, Partitions)> {
        std::mem::take(&mut self.wanted)
    }

    /// Notes that the grant for a job is in the log.
    pub fn on_granted(&mut self, id: JobId) {
        self.requested.remove(&id);
    }
}
