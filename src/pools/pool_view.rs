//! A pool as the balancer sees it.

use crate::name::ServiceName;
use crate::pools::PoolHost;

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
