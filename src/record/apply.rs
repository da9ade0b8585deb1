//! Application of records to the state.

mod upkeep;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::PoolName;
use crate::name::TeamName;
use crate::record::CHECKPOINT_RECORDS;
use crate::record::Change;
use crate::record::Checkpoint;
use crate::record::Host;
use crate::record::HostRow;
use crate::record::KeyHash;
use crate::record::Outcome;
use crate::record::Pool;
use crate::record::PoolRow;
use crate::record::Record;
use crate::record::Rejection;
use crate::record::Settled;
use crate::record::State;
use crate::record::Team;
use crate::record::TeamRow;

/// Maximum size of the snapshot after a configuration change, in bytes. It leaves room for what
/// processes add later, so that a snapshot still fits into a record and into a message.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 20;

impl State {
    /// Applies the record at `offset`, which must be the next one. A rejected record changes
    /// nothing but the offset.
    pub fn apply(&mut self, offset: u64, data: &[u8]) -> Outcome {
        if offset != self.offset {
            return Outcome::Rejected(Rejection::OutOfOrder(self.offset));
        }
        if offset > 0 && offset.is_multiple_of(CHECKPOINT_RECORDS) {
            self.checkpoint = Checkpoint::of(offset, &self.snapshot());
        }
        let outcome = self.apply_record(offset, data);
        self.offset += 1;
        outcome
    }

    fn apply_record(&mut self, offset: u64, data: &[u8]) -> Outcome {
        let Ok(record) = Record::decode(data) else {
            return Outcome::Rejected(Rejection::Malformed);
        };
        if let Some(known) = self.recent.find(record.id) {
            return Outcome::Repeated {
                offset: known.offset,
                first: known.result.clone(),
            };
        }
        let result = self.apply_change(record.base, record.at, record.change);
        self.recent.push(Settled {
            id: record.id,
            offset,
            result: result.clone(),
        });
        result.into()
    }

    fn apply_change(
        &mut self,
        base: Option<u64>,
        at: u64,
        change: Change,
    ) -> Result<u64, Rejection> {
        if base.is_some_and(|base| base != self.revision) {
            return Err(Rejection::StaleBase(self.revision));
        }
        if change.is_configuration_change() {
            self.apply_bounded(at, change)?;
            self.revision += 1;
        } else {
            self.dispatch(at, change)?;
        }
        Ok(self.revision)
    }

    /// Applies a configuration change; rolls it back if the snapshot exceeds the size limit.
    fn apply_bounded(&mut self, at: u64, change: Change) -> Result<(), Rejection> {
        let before = self.clone();
        self.dispatch(at, change)?;
        if self.snapshot().len() > MAX_SNAPSHOT_BYTES {
            *self = before;
            return Err(Rejection::StateTooLarge);
        }
        Ok(())
    }

    fn dispatch(&mut self, at: u64, change: Change) -> Result<(), Rejection> {
        match change {
            Change::Table(rows) => self.set_table(rows),
            Change::Pools(rows) => self.set_pools(rows),
            Change::Hosts(rows) => self.set_hosts(rows),
            Change::RemoveHost(host) => self.remove_host(&host),
            Change::GrantKey { team, hash } => self.grant_key(team, hash),
            Change::WithdrawKey { hash } => self.withdraw_key(&hash),
            Change::MarkHost { host, active } => self.mark_host(&host, active),
            Change::MarkDc { dc, active } => self.mark_dc(dc, active, at),
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
            Change::Listed {
                host,
                leaving,
                seen,
            } => self.update_listing(&host, leaving, seen),
            Change::Plan { host, goal } => self.plan(&host, goal, at),
            Change::Reboot { host, plan } => self.reboot(&host, plan, at),
            Change::Finish { host, plan, end } => self.finish(&host, plan, end),
        }
    }

    fn set_table(&mut self, rows: Vec<TeamRow>) -> Result<(), Rejection> {
        let mut teams = BTreeMap::new();
        for row in rows {
            if row.weight == 0 {
                return Err(Rejection::ZeroWeight(row.team));
            }
            let team = Team {
                weight: row.weight,
                limit: row.limit,
                urgent: row.urgent,
            };
            if teams.insert(row.team.clone(), team).is_some() {
                return Err(Rejection::Duplicate(row.team.into()));
            }
        }
        self.keys.retain(|_, team| teams.contains_key(team));
        self.teams = teams;
        Ok(())
    }

    // Teams removed from the table later stay in the team sets of pools: an empty set means that
    // every team may use the pool.
    fn set_pools(&mut self, rows: Vec<PoolRow>) -> Result<(), Rejection> {
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
                return Err(Rejection::Duplicate(row.pool.into()));
            }
        }
        self.pools.append(&mut pools);
        Ok(())
    }

    fn set_hosts(&mut self, rows: Vec<HostRow>) -> Result<(), Rejection> {
        let mut hosts = self.hosts.clone();
        let mut seen = BTreeSet::new();
        for row in rows {
            if !seen.insert(row.host.clone()) {
                return Err(Rejection::Duplicate(row.host.into()));
            }
            let (name, host) = self.host_from_row(row)?;
            hosts.insert(name, host);
        }
        let mut addrs = BTreeSet::new();
        if let Some((name, _)) = hosts.iter().find(|(_, host)| !addrs.insert(host.addr)) {
            return Err(Rejection::AddressTaken(name.clone()));
        }
        for host in hosts.values() {
            self.dcs.entry(host.dc.clone()).or_insert(true);
        }
        self.hosts = hosts;
        Ok(())
    }

    fn host_from_row(&self, row: HostRow) -> Result<(HostName, Host), Rejection> {
        self.known_pool(&row.pool)?;
        let Some(existing) = self.hosts.get(&row.host) else {
            let host = Host {
                dc: row.dc,
                rack: row.rack,
                addr: row.addr,
                slots: row.slots,
                home: row.pool.clone(),
                pool: row.pool,
                active: true,
                draining: false,
                maintained: 0,
                leaving: false,
                listed: 0,
                upkeep: None,
            };
            return Ok((row.host, host));
        };
        if existing.home != row.pool {
            return Err(Rejection::WrongPool(row.host, existing.home.clone()));
        }
        if existing.dc != row.dc || existing.rack != row.rack {
            return Err(Rejection::WrongPlace(row.host));
        }
        let host = Host {
            addr: row.addr,
            slots: row.slots,
            ..existing.clone()
        };
        Ok((row.host, host))
    }

    fn remove_host(&mut self, name: &HostName) -> Result<(), Rejection> {
        if self.is_in_service(self.host(name)?) {
            return Err(Rejection::InService(name.clone()));
        }
        self.hosts.remove(name);
        Ok(())
    }

    fn grant_key(&mut self, team: TeamName, hash: KeyHash) -> Result<(), Rejection> {
        self.known_team(&team)?;
        match self.keys.get(&hash) {
            Some(owner) if *owner != team => return Err(Rejection::KeyTaken(owner.clone())),
            _ => self.keys.insert(hash, team),
        };
        Ok(())
    }

    fn withdraw_key(&mut self, hash: &KeyHash) -> Result<(), Rejection> {
        let removed = self.keys.remove(hash);
        removed.map(|_| ()).ok_or(Rejection::UnknownKey)
    }

    fn mark_host(&mut self, name: &HostName, active: bool) -> Result<(), Rejection> {
        self.host_mut(name)?.active = active;
        Ok(())
    }

    fn mark_dc(&mut self, dc: DcName, active: bool, at: u64) -> Result<(), Rejection> {
        let Some(current) = self.dcs.get_mut(&dc) else {
            return Err(Rejection::UnknownDc(dc));
        };
        let before = std::mem::replace(current, active);
        if active && !before {
            self.reactivated.insert(dc, at);
        }
        Ok(())
    }

    fn update_listing(
        &mut self,
        name: &HostName,
        leaving: bool,
        seen: u64,
    ) -> Result<(), Rejection> {
        let host = self.host_mut(name)?;
        if seen <= host.listed {
            return Err(Rejection::OldList(name.clone(), host.listed));
        }
        host.leaving = leaving;
        host.listed = seen;
        Ok(())
    }

    fn check_snapshot(&mut self, bytes: &[u8]) -> Result<(), Rejection> {
        let is_checkpoint = Checkpoint::of(self.checkpoint.offset, bytes) == self.checkpoint;
        if !is_checkpoint && self.snapshot() != bytes {
            return Err(Rejection::WrongSnapshot);
        }
        self.snapshot_offset = self.offset;
        self.resume_offset = if is_checkpoint {
            self.checkpoint.offset
        } else {
            self.offset
        };
        Ok(())
    }

    fn known_team(&self, team: &TeamName) -> Result<(), Rejection> {
        let known = self.teams.contains_key(team);
        known
            .then_some(())
            .ok_or_else(|| Rejection::UnknownTeam(team.clone()))
    }

    fn known_pool(&self, pool: &PoolName) -> Result<&Pool, Rejection> {
        let known = self.pools.get(pool);
        known.ok_or_else(|| Rejection::UnknownPool(pool.clone()))
    }

    fn host(&self, name: &HostName) -> Result<&Host, Rejection> {
        let known = self.hosts.get(name);
        known.ok_or_else(|| Rejection::UnknownHost(name.clone()))
    }

    fn host_mut(&mut self, name: &HostName) -> Result<&mut Host, Rejection> {
        let known = self.hosts.get_mut(name);
        known.ok_or_else(|| Rejection::UnknownHost(name.clone()))
    }
}
