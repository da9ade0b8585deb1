//! Hash partitions of the executors. The log records in which of them each job may run.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::batch::JobId;
use crate::name::ExecutorId;

/// Number of partitions, one for each bit of the set; every executor belongs to exactly one.
const COUNT: u64 = 16;

/// A set of partitions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partitions(u16);

impl Partitions {
    /// No partition.
    pub const NONE: Self = Self(0);
    /// All partitions.
    pub const ALL: Self = Self(u16::MAX);

    /// Partition of an executor, a hash of its id, so that all owners agree on it.
    #[must_use]
    pub fn of(executor: &ExecutorId) -> Self {
        Self::numbered(xxh3_64(executor.as_str().as_bytes()))
    }

    /// Home partition of a job, a hash of its id. It is among the first partitions granted to the
    /// job. While the log accepts no appends, no further ones can be granted; home partitions
    /// spread the jobs over all executors then.
    #[must_use]
    pub fn home(job: JobId) -> Self {
        Self::numbered(xxh3_64(job.to_string().as_bytes()))
    }

    const fn numbered(number: u64) -> Self {
        Self(1 << (number % COUNT))
    }

    /// Union of both sets.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether both sets have a partition in common.
    #[must_use]
    pub const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// Whether the set is empty.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Number of partitions in the set.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.0.count_ones()
    }
}
