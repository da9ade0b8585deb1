//! The state that the log's records add up to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::record::Checkpoint;
use crate::record::Host;
use crate::record::KeyHash;
use crate::record::Member;
use crate::record::Pool;
use crate::record::RecentRecords;
use crate::record::Role;
use crate::record::Team;

/// Everything that the processes agree on; equal at equal offsets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The operators' table.
    pub teams: BTreeMap<TeamName, Team>,
    /// Keys that act for teams.
    pub keys: BTreeMap<KeyHash, TeamName>,
    /// Pools of hosts.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Hosts, each in one pool.
    pub hosts: BTreeMap<HostName, Host>,
    /// Data centres; true if in service.
    pub dcs: BTreeMap<DcName, bool>,
    /// When data centres were last put back in service, Unix time in milliseconds.
    pub reactivated: BTreeMap<DcName, u64>,
    /// Processes that have joined and have not been ended.
    pub members: BTreeMap<NodeName, Member>,
    /// Last incarnation of every name that ever joined.
    pub incarnations: BTreeMap<NodeName, u64>,
    /// Fleet members that report a member as silent, by the silent member.
    pub suspicions: BTreeMap<NodeName, BTreeSet<NodeName>>,
    /// Records folded lately.
    pub recent: RecentRecords,
    /// Offset of the next record to fold.
    pub offset: u64,
    /// Accepted records of operators.
    pub revision: u64,
    /// Changes of the membership.
    pub epoch: u64,
    /// Offset of the last accepted snapshot.
    pub snapshot_offset: u64,
    /// Offset from which that snapshot needs the records.
    pub resume_offset: u64,
    /// The last checkpoint.
    pub checkpoint: Checkpoint,
}

impl State {
    /// The team that a key acts for; keys are compared in constant time.
    #[must_use]
    pub fn team_of(&self, hash: &KeyHash) -> Option<&TeamName> {
        let (known, team) = self.keys.get_key_value(hash)?;
        known.matches(hash).then_some(team)
    }

    /// Hosts in the pools of a service.
    pub fn hosts_of(&self, service: &ServiceName) -> impl Iterator<Item = (&HostName, &Host)> {
        self.hosts.iter().filter(move |(_, host)| {
            let pool = self.pools.get(&host.pool);
            pool.and_then(|pool| pool.service.as_ref()) == Some(service)
        })
    }

    /// Services that pools run, each once, in the order of their names.
    #[must_use]
    pub fn services(&self) -> BTreeSet<ServiceName> {
        let of_pools = self.pools.values().filter_map(|pool| pool.service.clone());
        of_pools.collect()
    }

    /// Whether the host may be given work.
    #[must_use]
    pub fn is_usable(&self, host: &Host) -> bool {
        !host.draining && !host.leaving && self.is_in_service(host)
    }

    /// Whether neither the host nor its data centre has been taken out.
    #[must_use]
    pub fn is_in_service(&self, host: &Host) -> bool {
        host.active && self.dcs.get(&host.dc).copied().unwrap_or(false)
    }

    /// Hosts of a pool that are not usable.
    #[must_use]
    pub fn unusable_hosts(&self, pool: &PoolName) -> usize {
        let of_pool = self.hosts.values().filter(|host| host.pool == *pool);
        of_pool.filter(|host| !self.is_usable(host)).count()
    }

    /// Hosts that operators have put in a pool, lent ones included.
    #[must_use]
    pub fn home_hosts(&self, pool: &PoolName) -> usize {
        let of_pool = self.hosts.values().filter(|host| host.home == *pool);
        of_pool.count()
    }

    /// Usable hosts of a pool.
    #[must_use]
    pub fn usable_hosts(&self, pool: &PoolName) -> usize {
        let of_pool = self.hosts.values().filter(|host| host.pool == *pool);
        of_pool.filter(|host| self.is_usable(host)).count()
    }

    /// Whether this incarnation of a process is a member.
    #[must_use]
    pub fn is_member(&self, node: &NodeName, incarnation: u64) -> bool {
        let member = self.members.get(node);
        member.is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether this incarnation of a process was a member and has been ended or replaced.
    #[must_use]
    pub fn is_ended(&self, node: &NodeName, incarnation: u64) -> bool {
        let last = self.incarnations.get(node);
        last.is_some_and(|last| *last >= incarnation) && !self.is_member(node, incarnation)
    }

    /// Members of a role, the leaving ones included.
    pub fn members_of(&self, role: Role) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.members
            .iter()
            .filter(move |(_, member)| member.role == role)
    }
}
