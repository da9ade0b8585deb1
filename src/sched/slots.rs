//! Slots of one service's hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::record::Host;
use crate::record::State;
use crate::sched::occupant::Occupant;
use crate::upkeep::filled_slots;
use crate::wire::AttemptId;
use crate::wire::BusyHost;
use crate::wire::Grant;
use crate::wire::Peer;
use crate::wire::Running;

/// Tracks which attempt occupies which slot. Operations take time logarithmic in the number of
/// hosts, except those that replace the hosts or apply a gate's report.
#[derive(Debug, Default)]
pub struct Slots {
    hosts: BTreeMap<HostName, Host>,
    /// Slots in use by host, those of hosts that are no longer usable included.
    used: HashMap<HostName, u32>,
    /// Usable hosts with free slots, ordered by the number of free slots.
    free: BTreeSet<(u32, HostName)>,
    occupants: HashMap<AttemptId, Occupant>,
    /// Attempts that occupy slots, by gate.
    gates: BTreeMap<Peer, BTreeSet<AttemptId>>,
    /// Slots in use by team.
    teams: BTreeMap<TeamName, u32>,
    /// Slots in use by urgent requests.
    urgent: u32,
    /// Slots of all usable hosts.
    capacity: u32,
    /// Free slots of all usable hosts.
    vacant: u32,
    /// Wall clock, Unix time in milliseconds; 0 until it is set.
    clock: u64,
}

impl Slots {
    /// Sets the wall clock (Unix time in milliseconds) by which returned data centres are filled.
    pub const fn set_clock(&mut self, clock: u64) {
        self.clock = clock;
    }

    /// Replaces the hosts by the usable hosts of a service in a newer state. Hosts of a data centre
    /// that has recently returned to service get only a part of their slots.
    pub fn update(&mut self, state: &State, service: &ServiceName) {
        self.hosts = state
            .hosts_of(service)
            .filter(|(_, host)| state.is_usable(host))
            .map(|(name, host)| {
                let returned = state.reactivated.get(&host.dc).copied();
                let slots = filled_slots(host.slots, returned, self.clock);
                (
                    name.clone(),
                    Host {
                        slots,
                        ..host.clone()
                    },
                )
            })
            .collect();
        self.capacity = self.hosts.values().map(|host| host.slots).sum();
        let hosts = self.hosts.iter();
        self.free = hosts
            .map(|(name, host)| {
                (
                    host.slots.saturating_sub(self.host_in_use(name)),
                    name.clone(),
                )
            })
            .filter(|(free, _)| *free > 0)
            .collect();
        self.vacant = self.free.iter().map(|(free, _)| free).sum();
    }

    /// Occupies a slot; no effect if the attempt has one already.
    pub fn occupy(&mut self, attempt: AttemptId, occupant: Occupant) {
        if self.occupants.contains_key(&attempt) {
            return;
        }
        self.change_used(&occupant.host, |used| used + 1);
        *self.teams.entry(occupant.team.clone()).or_default() += 1;
        self.urgent += u32::from(occupant.urgent);
        let gate = self.gates.entry(occupant.gate.clone()).or_default();
        gate.insert(attempt);
        self.occupants.insert(attempt, occupant);
    }

    /// Frees the slot of an attempt; none if it has no slot.
    pub fn release(&mut self, attempt: &AttemptId) -> Option<Occupant> {
        let occupant = self.occupants.remove(attempt)?;
        self.change_used(&occupant.host, |used| used - 1);
        self.urgent -= u32::from(occupant.urgent);
        if let Some(running) = self.teams.get_mut(&occupant.team) {
            *running -= 1;
            if *running == 0 {
                self.teams.remove(&occupant.team);
            }
        }
        if let Some(gate) = self.gates.get_mut(&occupant.gate) {
            gate.remove(attempt);
        }
        Some(occupant)
    }

    /// Frees every slot of a gate.
    pub fn release_gate(&mut self, gate: &Peer) {
        let attempts = self.gates.remove(gate).unwrap_or_default();
        for attempt in attempts {
            self.release(&attempt);
        }
    }

    /// Applies a gate's list of running attempts, received on a link. Attempts of the gate that it
    /// does not list have ended, except unconfirmed grants sent on the same link, which the gate
    /// may not have received yet.
    pub fn confirm(&mut self, gate: &Peer, link: LinkId, running: &[Running]) {
        for run in running {
            if let Some(occupant) = self.occupants.get_mut(&run.attempt) {
                occupant.unconfirmed = None;
            }
        }
        let listed: BTreeSet<AttemptId> = running.iter().map(|run| run.attempt).collect();
        let is_in_flight = |attempt: &AttemptId| {
            let occupant = self.occupants.get(attempt);
            occupant.is_some_and(|occupant| occupant.unconfirmed == Some(link))
        };
        let attempts = self.gates.get(gate);
        let ended: Vec<AttemptId> = attempts
            .into_iter()
            .flat_map(|attempts| attempts.difference(&listed))
            .filter(|attempt| !is_in_flight(attempt))
            .copied()
            .collect();
        for attempt in ended {
            self.release(&attempt);
        }
    }

    /// Occupies a slot for an attempt that a gate has running.
    pub fn adopt(&mut self, now: Instant, gate: &Peer, run: &Running) {
        let occupant = Occupant {
            host: run.host.clone(),
            team: run.team.clone(),
            urgent: false,
            gate: gate.clone(),
            unconfirmed: None,
            since: now,
        };
        self.occupy(run.attempt, occupant);
    }

    /// Names of the usable hosts.
    pub fn hosts(&self) -> impl Iterator<Item = HostName> {
        self.hosts.keys().cloned()
    }

    /// Whether an attempt occupies a slot.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.occupants.contains_key(attempt)
    }

    /// The grant of an attempt; none unless it occupies a slot of a usable host.
    #[must_use]
    pub fn grant_of(&self, attempt: &AttemptId) -> Option<Grant> {
        let occupant = self.occupants.get(attempt)?;
        let row = self.hosts.get(&occupant.host)?;
        Some(Grant {
            attempt: *attempt,
            host: occupant.host.clone(),
            addr: row.addr,
        })
    }

    /// The usable host with the most free slots; one of `avoid` only if no other is free.
    /// `may_assign` tells whether a host with the given number of slots in use may get work.
    #[must_use]
    pub fn pick_host(
        &self,
        avoid: &[HostName],
        may_assign: impl Fn(&HostName, u32) -> bool,
    ) -> Option<(&HostName, &Host)> {
        let by_free = self.free.iter().rev().map(|(_, name)| name);
        let mut open = by_free.filter(|name| may_assign(name, self.host_in_use(name)));
        let name = open
            .clone()
            .find(|name| !avoid.contains(name))
            .or_else(|| open.next())?;
        self.hosts.get_key_value(name)
    }

    /// Number of slots that a team occupies.
    #[must_use]
    pub fn running(&self, team: &TeamName) -> u32 {
        self.teams.get(team).copied().unwrap_or(0)
    }

    /// Teams that occupy slots, with the number of slots.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        self.teams.iter().map(|(team, running)| (team, *running))
    }

    /// Number of slots of all usable hosts.
    #[must_use]
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Number of free slots of usable hosts.
    #[must_use]
    pub const fn vacant(&self) -> u32 {
        self.vacant
    }

    /// Number of slots that urgent requests occupy.
    #[must_use]
    pub const fn urgent(&self) -> u32 {
        self.urgent
    }

    /// Whether no slot is occupied.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.occupants.is_empty()
    }

    /// Number of slots in use, those of hosts that are no longer usable included.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        u32::try_from(self.occupants.len()).unwrap_or(u32::MAX)
    }

    /// Hosts that are no longer usable but still have slots in use.
    #[must_use]
    pub fn busy(&self) -> Vec<BusyHost> {
        let unusable = self
            .used
            .iter()
            .filter(|(host, _)| !self.hosts.contains_key(*host));
        let busy = unusable.map(|(host, used)| BusyHost {
            host: host.clone(),
            used: *used,
        });
        busy.collect()
    }

    fn host_in_use(&self, host: &HostName) -> u32 {
        self.used.get(host).copied().unwrap_or(0)
    }

    fn change_used(&mut self, name: &HostName, change: impl Fn(u32) -> u32) {
        let before = self.host_in_use(name);
        let after = change(before);
        if after == 0 {
            self.used.remove(name);
        } else {
            self.used.insert(name.clone(), after);
        }
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let free = host.slots.saturating_sub(before);
        self.vacant -= free;
        self.free.remove(&(free, name.clone()));
        let free = host.slots.saturating_sub(after);
        self.vacant += free;
        if free > 0 {
            self.free.insert((free, name.clone()));
        }
    }
}
