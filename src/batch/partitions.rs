//! Cells: parts of a service's executors, to which the log ties what may run where.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::batch::JobId;
use crate::name::ExecutorId;

/// Number of cells; every executor belongs to one.
const COUNT: u64 = 16;

/// A set of cells.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partitions(u16);

impl Partitions {
    /// No cell.
    pub const NONE: Self = Self(0);
    /// All cells.
    pub const ALL: Self = Self(u16::MAX);

    /// The cell of an executor. All owners agree on it.
    #[must_use]
    pub fn of(executor: &ExecutorId) -> Self {
        Self::numbered(xxh3_64(executor.as_str().as_bytes()))
    }

    /// The cell in which a job may always run, so that jobs spread over all cells when the log
    /// takes nothing.
    #[must_use]
    pub fn home(job: JobId) -> Self {
        Self::numbered(xxh3_64(job.to_string().as_bytes()))
    }

    const fn numbered(number: u64) -> Self {
        Self(1 << (number % COUNT))
    }

    /// The cells of either.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether the two have a cell in common.
    #[must_use]
    pub const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// Whether it is no cell.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Number of its cells.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.0.count_ones()
    }
}
