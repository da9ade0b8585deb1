//! A move of a host to another pool.

use crate::name::HostName;
use crate::name::ServiceName;

/// A move to order: a host and the pool that it joins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostMove {
    /// Host to move.
    pub host: HostName,
    /// Service whose pool it joins.
    pub pool: ServiceName,
}
