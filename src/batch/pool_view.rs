//! Pools as the balancer sees them.

use std::time::Instant;

use crate::name::HostName;
use crate::name::ServiceName;

/// A host in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolHost {
    /// Name of the host.
    pub host: HostName,
    /// CPU of the host, in thousandths of a core.
    pub cpu: u64,
    /// When its tasks are expected to have ended.
    pub ends: Instant,
    /// No task runs there.
    pub idle: bool,
    /// A long-running task runs there.
    pub long_running: bool,
    /// It can take new work or be moved: it is up, its executor responds and does not drain, and no
    /// other order for it is due. Hosts of the spare pool need no executor.
    pub available: bool,
}

/// A pool, its hosts and its need for CPU.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolView {
    /// Service that the pool belongs to.
    pub service: ServiceName,
    /// It is the spare pool, whose hosts are switched off.
    pub spare: bool,
    /// CPU that its work takes now and soon, as far as its teams may run it, in thousandths of a
    /// core.
    pub demand: u64,
    /// CPU of the demand that it gets: all of it, unless the pools together lack hosts.
    pub need: u64,
    /// Further CPU for work that is too late to be of use, in thousandths of a core. The pool gets
    /// it only while no other pool is short.
    pub late_cpu: u64,
    /// CPU that is forecast from the arrival rate, in thousandths of a core; the need is at least
    /// this.
    pub forecast: u64,
    /// Fewest hosts that the pool must have.
    pub min_hosts: usize,
    /// Further hosts that long-running tasks need in order to start.
    pub extra_hosts: usize,
    /// Hosts in the pool, also those that can't be used now.
    pub hosts: Vec<PoolHost>,
}

/// A move to order: a host and the pool that it joins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Host to move.
    pub host: HostName,
    /// Service whose pool it joins.
    pub pool: ServiceName,
}
