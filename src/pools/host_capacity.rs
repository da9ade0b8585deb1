//! Capacity of the hosts of all pools.

use crate::batch::Resources;

/// How many times as large as the median a host can be. An entry that states more is not a true
/// one, and would outweigh all others.
const LIMIT_TIMES: u64 = 64;

/// Capacity of the hosts of all pools, except those with impossible entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostCapacity {
    /// Sum over the hosts.
    pub total: Resources,
    /// Most of each resource that one host has; unlimited while no host is known.
    pub largest: Resources,
}

impl Default for HostCapacity {
    fn default() -> Self {
        Self {
            total: Resources::default(),
            largest: Resources {
                cpu: u64::MAX,
                memory: u64::MAX,
                gpu: u64::MAX,
            },
        }
    }
}

impl HostCapacity {
    /// Returns the capacity of hosts with these capacities.
    #[must_use]
    pub fn of(hosts: &[Resources]) -> Self {
        if hosts.is_empty() {
            return Self::default();
        }
        let cpu = limit(hosts, |host| host.cpu);
        let memory = limit(hosts, |host| host.memory);
        let mut total = Resources::default();
        let mut largest = Resources::default();
        for host in hosts {
            if host.cpu <= cpu && host.memory <= memory {
                total.add(host);
                largest = largest.max(host);
            }
        }
        Self { total, largest }
    }
}

/// Returns the most of a resource that a host can have.
fn limit(hosts: &[Resources], of: fn(&Resources) -> u64) -> u64 {
    let mut amounts: Vec<u64> = hosts.iter().map(of).collect();
    amounts.sort_unstable();
    let median = amounts[(amounts.len() - 1) / 2];
    median.saturating_mul(LIMIT_TIMES)
}
