//! The replicated state.

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

/// The result of applying all records up to an offset; equal in all processes at that offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The team table.
    pub teams: BTreeMap<TeamName, Team>,
    /// Team that each key belongs to.
    pub keys: BTreeMap<KeyHash, TeamName>,
    /// All pools, the spare ones included.
    pub pools: BTreeMap<PoolName, Pool>,
    /// All hosts, each in exactly one pool.
    pub hosts: BTreeMap<HostName, Host>,
    /// All data centres; true if in service.
    pub dcs: BTreeMap<DcName, bool>,
    /// When each data centre was last put back in service, Unix time in milliseconds; no
    /// entry for one that never was out.
    pub reactivated: BTreeMap<DcName, u64>,
    /// Processes that have joined and have not been removed.
    pub members: BTreeMap<NodeName, Member>,
    /// Latest incarnation of every process name that ever joined.
    pub incarnations: BTreeMap<NodeName, u64>,
    /// Fleet members that suspect a member, by the suspected member.
    pub suspicions: BTreeMap<NodeName, BTreeSet<NodeName>>,
    /// Results of recent records, for deduplication.
    pub recent: RecentRecords,
    /// Offset of the next record to apply.
    pub offset: u64,
    /// Number of accepted configuration changes.
    pub revision: u64,
    /// Number of membership changes.
    pub epoch: u64,
    /// Offset of the last accepted snapshot record; 0 before the first.
    pub snapshot_offset: u64,
    /// Offset of the first record to apply on top of that snapshot.
    pub resume_offset: u64,
    /// The latest checkpoint, all zero before the first.
    pub checkpoint: Checkpoint,
}

impl State {
    /// The team that a key belongs to; hashes are compared in constant time.
    #[must_use]
    pub fn team_of(&self, hash: &KeyHash) -> Option<&TeamName> {
        let (stored, team) = self.keys.get_key_value(hash)?;
        stored.matches(hash).then_some(team)
    }

    /// Hosts in the pools that run a service.
    pub fn hosts_of(&self, service: &ServiceName) -> impl Iterator<Item = (&HostName, &Host)> {
        self.hosts.iter().filter(move |(_, host)| {
            let pool = self.pools.get(&host.pool);
            pool.and_then(|pool| pool.service.as_ref()) == Some(service)
        })
    }

    /// Services that at least one pool runs.
    #[must_use]
    pub fn services(&self) -> BTreeSet<ServiceName> {
        let services = self.pools.values().filter_map(|pool| pool.service.clone());
        services.collect()
    }

    /// Whether the host may be assigned work.
    #[must_use]
    pub fn is_usable(&self, host: &Host) -> bool {
        !host.draining && !host.leaving && self.is_in_service(host)
    }

    /// Whether both the host and its data centre are marked in service.
    #[must_use]
    pub fn is_in_service(&self, host: &Host) -> bool {
        host.active && self.dcs.get(&host.dc).copied().unwrap_or(false)
    }

    /// Number of hosts of a pool that may not be assigned work.
    #[must_use]
    pub fn unusable_hosts(&self, pool: &PoolName) -> usize {
        let hosts = self.hosts.values().filter(|host| host.pool == *pool);
        hosts.filter(|host| !self.is_usable(host)).count()
    }

    /// Number of hosts whose home pool this is, those moved to other pools included.
    #[must_use]
    pub fn home_hosts(&self, pool: &PoolName) -> usize {
        let hosts = self.hosts.values().filter(|host| host.home == *pool);
        hosts.count()
    }

    /// Number of hosts of a pool that may be assigned work.
    #[must_use]
    pub fn usable_hosts(&self, pool: &PoolName) -> usize {
        let hosts = self.hosts.values().filter(|host| host.pool == *pool);
        hosts.filter(|host| self.is_usable(host)).count()
    }

    /// Whether this incarnation of a process currently is a member.
    #[must_use]
    pub fn is_member(&self, node: &NodeName, incarnation: u64) -> bool {
        let member = self.members.get(node);
        member.is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether this incarnation of a process has been removed or replaced by a later one.
    #[must_use]
    pub fn is_ended(&self, node: &NodeName, incarnation: u64) -> bool {
        let last = self.incarnations.get(node);
        last.is_some_and(|last| *last >= incarnation) && !self.is_member(node, incarnation)
    }

    /// Members of a role, leaving ones included.
    pub fn members_of(&self, role: Role) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.members
            .iter()
            .filter(move |(_, member)| member.role == role)
    }
}
