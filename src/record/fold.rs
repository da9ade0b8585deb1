//! The rules by which records change the state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::PoolName;
use crate::name::TeamName;
use crate::record::Change;
use crate::record::Host;
use crate::record::HostRow;
use crate::record::KeyHash;
use crate::record::Member;
use crate::record::Outcome;
use crate::record::Pool;
use crate::record::PoolRow;
use crate::record::Record;
use crate::record::Reject;
use crate::record::Role;
use crate::record::Settled;
use crate::record::State;
use crate::record::Team;
use crate::record::TeamRow;

impl State {
    /// Folds the record at `offset`, which must be the next one. It counts as a whole or changes
    /// nothing but the offset.
    pub fn apply(&mut self, offset: u64, data: &[u8]) -> Outcome {
        if offset != self.offset {
            return Outcome::Rejected(Reject::OutOfOrder(self.offset));
        }
        let outcome = self.fold(offset, data);
        self.offset += 1;
        outcome
    }

    fn fold(&mut self, offset: u64, data: &[u8]) -> Outcome {
        let Ok(record) = Record::decode(data) else {
            return Outcome::Rejected(Reject::Malformed);
        };
        if let Some(known) = self.recent.find(record.id) {
            return Outcome::Repeated {
                offset: known.offset,
                first: known.result.clone(),
            };
        }
        let result = self.count(record.base, record.change);
        self.recent.push(Settled {
            id: record.id,
            offset,
            result: result.clone(),
        });
        result.into()
    }

    fn count(&mut self, base: Option<u64>, change: Change) -> Result<u64, Reject> {
        if base.is_some_and(|base| base != self.revision) {
            return Err(Reject::StaleBase(self.revision));
        }
        let operators = change.is_operators();
        self.change(change)?;
        self.revision += u64::from(operators);
        Ok(self.revision)
    }

    fn change(&mut self, change: Change) -> Result<(), Reject> {
        match change {
            Change::Table(rows) => self.set_table(rows),
            Change::Pools(rows) => self.set_pools(rows),
            Change::Hosts(rows) => self.set_hosts(rows),
            Change::RemoveHost(host) => self.remove_host(&host),
            Change::GrantKey { team, hash } => self.grant_key(team, hash),
            Change::WithdrawKey { hash } => self.withdraw_key(&hash),
            Change::MarkHost { host, active } => self.mark_host(&host, active),
            Change::MarkDc { dc, active } => self.mark_dc(&dc, active),
            Change::Drain(host) => self.drain(&host),
            Change::Undrain { host, maintained } => self.undrain(&host, maintained),
            Change::Move { host, from, to } => self.move_host(&host, &from, to),
            Change::Join { node, member } => self.join(node, member),
            Change::Leave { node, incarnation } => self.leave(&node, incarnation),
            Change::Suspect {
                node,
                incarnation,
                by,
            } => self.suspect(&node, incarnation, by),
            Change::End { node, incarnation } => self.end(&node, incarnation),
            Change::Snapshot(bytes) => self.check_snapshot(&bytes),
            Change::Trust {
                node,
                incarnation,
                by,
            } => self.trust(&node, incarnation, &by),
        }
    }

    fn set_table(&mut self, rows: Vec<TeamRow>) -> Result<(), Reject> {
        let mut teams = BTreeMap::new();
        for row in rows {
            if row.weight == 0 {
                return Err(Reject::ZeroWeight(row.team));
            }
            let team = Team {
                weight: row.weight,
                limit: row.limit,
                urgent: row.urgent,
            };
            if teams.insert(row.team.clone(), team).is_some() {
                return Err(Reject::Duplicate(row.team.into()));
            }
        }
        self.keys.retain(|_, team| teams.contains_key(team));
        self.teams = teams;
        Ok(())
    }

    // A team that leaves the table later stays in its pools' sets: an emptied set would open them.
    fn set_pools(&mut self, rows: Vec<PoolRow>) -> Result<(), Reject> {
        let mut pools = BTreeMap::new();
        for row in rows {
            row.teams
                .iter()
                .try_for_each(|team| self.known_team(team))?;
            let pool = Pool {
                service: row.service,
                open: row.open,
                teams: row.teams.into_iter().collect(),
                budget: row.budget,
            };
            if pools.insert(row.pool.clone(), pool).is_some() {
                return Err(Reject::Duplicate(row.pool.into()));
            }
        }
        self.pools.append(&mut pools);
        Ok(())
    }

    fn set_hosts(&mut self, rows: Vec<HostRow>) -> Result<(), Reject> {
        let mut hosts = self.hosts.clone();
        let mut seen = BTreeSet::new();
        for row in rows {
            if !seen.insert(row.host.clone()) {
                return Err(Reject::Duplicate(row.host.into()));
            }
            let (name, host) = self.host_from(row)?;
            hosts.insert(name, host);
        }
        let mut addrs = BTreeSet::new();
        if let Some((name, _)) = hosts.iter().find(|(_, host)| !addrs.insert(host.addr)) {
            return Err(Reject::AddressTaken(name.clone()));
        }
        for host in hosts.values() {
            self.dcs.entry(host.dc.clone()).or_insert(true);
        }
        self.hosts = hosts;
        Ok(())
    }

    fn host_from(&self, row: HostRow) -> Result<(HostName, Host), Reject> {
        self.known_pool(&row.pool)?;
        let Some(known) = self.hosts.get(&row.host) else {
            let host = Host {
                dc: row.dc,
                rack: row.rack,
                addr: row.addr,
                slots: row.slots,
                pool: row.pool,
                active: true,
                draining: false,
                maintained: 0,
            };
            return Ok((row.host, host));
        };
        if known.pool != row.pool {
            return Err(Reject::WrongPool(row.host, known.pool.clone()));
        }
        if known.dc != row.dc || known.rack != row.rack {
            return Err(Reject::WrongPlace(row.host));
        }
        let host = Host {
            addr: row.addr,
            slots: row.slots,
            ..known.clone()
        };
        Ok((row.host, host))
    }

    fn remove_host(&mut self, name: &HostName) -> Result<(), Reject> {
        if self.in_service(self.host(name)?) {
            return Err(Reject::InService(name.clone()));
        }
        self.hosts.remove(name);
        Ok(())
    }

    fn grant_key(&mut self, team: TeamName, hash: KeyHash) -> Result<(), Reject> {
        self.known_team(&team)?;
        match self.keys.get(&hash) {
            Some(holder) if *holder != team => return Err(Reject::KeyTaken(holder.clone())),
            _ => self.keys.insert(hash, team),
        };
        Ok(())
    }

    fn withdraw_key(&mut self, hash: &KeyHash) -> Result<(), Reject> {
        let taken = self.keys.remove(hash);
        taken.map(|_| ()).ok_or(Reject::UnknownKey)
    }

    fn mark_host(&mut self, name: &HostName, active: bool) -> Result<(), Reject> {
        self.host_mut(name)?.active = active;
        Ok(())
    }

    fn mark_dc(&mut self, dc: &DcName, active: bool) -> Result<(), Reject> {
        let mark = self.dcs.get_mut(dc);
        *mark.ok_or_else(|| Reject::UnknownDc(dc.clone()))? = active;
        Ok(())
    }

    fn drain(&mut self, name: &HostName) -> Result<(), Reject> {
        let host = self.host(name)?;
        if host.draining {
            return Err(Reject::Draining(name.clone()));
        }
        let budget = self.known_pool(&host.pool)?.budget;
        let out = self.hosts_out(&host.pool) + usize::from(self.usable(host));
        if out > budget as usize {
            return Err(Reject::BudgetExceeded(host.pool.clone(), budget));
        }
        self.host_mut(name)?.draining = true;
        Ok(())
    }

    fn undrain(&mut self, name: &HostName, maintained: Option<u64>) -> Result<(), Reject> {
        let host = self.draining_host(name)?;
        host.draining = false;
        host.maintained = host.maintained.max(maintained.unwrap_or(0));
        Ok(())
    }

    fn move_host(&mut self, name: &HostName, from: &PoolName, to: PoolName) -> Result<(), Reject> {
        self.known_pool(&to)?;
        let host = self.host(name)?;
        if host.pool != *from {
            return Err(Reject::WrongPool(name.clone(), host.pool.clone()));
        }
        self.draining_host(name)?.pool = to;
        Ok(())
    }

    fn join(&mut self, node: NodeName, member: Member) -> Result<(), Reject> {
        let last = self.incarnations.get(&node).copied();
        if let Some(last) = last.filter(|last| *last >= member.incarnation) {
            return Err(Reject::OldIncarnation(node, last));
        }
        self.forget(&node);
        self.incarnations.insert(node.clone(), member.incarnation);
        self.members.insert(node, member);
        self.epoch += 1;
        Ok(())
    }

    fn leave(&mut self, node: &NodeName, incarnation: u64) -> Result<(), Reject> {
        self.member_mut(node, incarnation)?.leaving = true;
        self.epoch += 1;
        Ok(())
    }

    fn end(&mut self, node: &NodeName, incarnation: u64) -> Result<(), Reject> {
        self.member_mut(node, incarnation)?;
        self.members.remove(node);
        self.forget(node);
        self.epoch += 1;
        Ok(())
    }

    fn suspect(&mut self, node: &NodeName, incarnation: u64, by: NodeName) -> Result<(), Reject> {
        self.member_mut(node, incarnation)?;
        let voters: BTreeSet<NodeName> = self
            .members_of(Role::Fleet)
            .map(|(name, _)| name.clone())
            .filter(|name| name != node)
            .collect();
        if !voters.contains(&by) {
            return Err(Reject::NotVoter(by));
        }
        let said = self.suspicions.entry(node.clone()).or_default();
        said.insert(by);
        let count = said.intersection(&voters).count();
        if count * 2 > voters.len() {
            return self.end(node, incarnation);
        }
        Ok(())
    }

    fn trust(&mut self, node: &NodeName, incarnation: u64, by: &NodeName) -> Result<(), Reject> {
        self.member_mut(node, incarnation)?;
        self.suspicions.retain(|of, said| {
            of != node || {
                said.remove(by);
                !said.is_empty()
            }
        });
        Ok(())
    }

    // Drops what was said of a process, and what its earlier incarnation said of others.
    fn forget(&mut self, node: &NodeName) {
        self.suspicions.remove(node);
        self.suspicions.retain(|_, said| {
            said.remove(node);
            !said.is_empty()
        });
    }

    fn check_snapshot(&mut self, bytes: &[u8]) -> Result<(), Reject> {
        if self.snapshot() != bytes {
            return Err(Reject::WrongSnapshot);
        }
        self.snapped = self.offset;
        Ok(())
    }

    fn known_team(&self, team: &TeamName) -> Result<(), Reject> {
        let known = self.teams.contains_key(team);
        known
            .then_some(())
            .ok_or_else(|| Reject::UnknownTeam(team.clone()))
    }

    fn known_pool(&self, pool: &PoolName) -> Result<&Pool, Reject> {
        let known = self.pools.get(pool);
        known.ok_or_else(|| Reject::UnknownPool(pool.clone()))
    }

    fn host(&self, name: &HostName) -> Result<&Host, Reject> {
        let known = self.hosts.get(name);
        known.ok_or_else(|| Reject::UnknownHost(name.clone()))
    }

    fn host_mut(&mut self, name: &HostName) -> Result<&mut Host, Reject> {
        let known = self.hosts.get_mut(name);
        known.ok_or_else(|| Reject::UnknownHost(name.clone()))
    }

    fn draining_host(&mut self, name: &HostName) -> Result<&mut Host, Reject> {
        let host = self.host_mut(name)?;
        if !host.draining {
            return Err(Reject::NotDraining(name.clone()));
        }
        Ok(host)
    }

    fn member_mut(&mut self, node: &NodeName, incarnation: u64) -> Result<&mut Member, Reject> {
        let current = self.members.get_mut(node);
        current
            .filter(|member| member.incarnation == incarnation)
            .ok_or_else(|| Reject::Ended(node.clone()))
    }
}
