//! The slots of one service's hosts.

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
use crate::sched::held::Held;
use crate::upkeep::filled_slots;
use crate::wire::AttemptId;
use crate::wire::BusyHost;
use crate::wire::Grant;
use crate::wire::Peer;
use crate::wire::Running;

/// Which slots are in use, and by whom; every operation costs the logarithm of the hosts at most,
/// but for those that replace the hosts or a gate's report.
#[derive(Debug, Default)]
pub struct Slots {
    hosts: BTreeMap<HostName, Host>,
    used: HashMap<HostName, u32>,
    /// Usable hosts that have free slots, by the number of these.
    free: BTreeSet<(u32, HostName)>,
    held: HashMap<AttemptId, Held>,
    gates: BTreeMap<Peer, BTreeSet<AttemptId>>,
    teams: BTreeMap<TeamName, u32>,
    urgent: u32,
    capacity: u32,
    vacant: u32,
    /// Wall clock, Unix time in milliseconds; 0 if it is not known.
    clock: u64,
}

impl Slots {
    /// Sets the wall clock that data centres are filled by, Unix time in milliseconds.
    pub const fn set_clock(&mut self, clock: u64) {
        self.clock = clock;
    }

    /// Takes over the usable hosts of a service from a newer state; those of a data centre that
    /// has lately returned with a part of their slots.
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
            .map(|(name, host)| (host.slots.saturating_sub(self.in_use(name)), name.clone()))
            .filter(|(free, _)| *free > 0)
            .collect();
        self.vacant = self.free.iter().map(|(free, _)| free).sum();
    }

    /// Occupies a slot.
    pub fn occupy(&mut self, attempt: AttemptId, held: Held) {
        if self.held.contains_key(&attempt) {
            return;
        }
        self.change_used(&held.host, |used| used + 1);
        *self.teams.entry(held.team.clone()).or_default() += 1;
        self.urgent += u32::from(held.urgent);
        let gate = self.gates.entry(held.gate.clone()).or_default();
        gate.insert(attempt);
        self.held.insert(attempt, held);
    }

    /// Frees the slot of an attempt.
    pub fn release(&mut self, attempt: &AttemptId) -> Option<Held> {
        let held = self.held.remove(attempt)?;
        self.change_used(&held.host, |used| used - 1);
        self.urgent -= u32::from(held.urgent);
        if let Some(running) = self.teams.get_mut(&held.team) {
            *running -= 1;
            if *running == 0 {
                self.teams.remove(&held.team);
            }
        }
        if let Some(gate) = self.gates.get_mut(&held.gate) {
            gate.remove(attempt);
        }
        Some(held)
    }

    /// Frees every slot of a gate.
    pub fn release_gate(&mut self, gate: &Peer) {
        let attempts = self.gates.remove(gate).unwrap_or_default();
        for attempt in attempts {
            self.release(&attempt);
        }
    }

    /// Takes in what a gate names as running on a link. What it does not name is over, but for
    /// grants on the same link, which it had not received.
    pub fn confirm(&mut self, gate: &Peer, link: LinkId, running: &[Running]) {
        for run in running {
            if let Some(held) = self.held.get_mut(&run.attempt) {
                held.granted = None;
            }
        }
        let named: BTreeSet<AttemptId> = running.iter().map(|run| run.attempt).collect();
        let on_its_way = |attempt: &AttemptId| {
            let held = self.held.get(attempt);
            held.is_some_and(|held| held.granted == Some(link))
        };
        let attempts = self.gates.get(gate);
        let over: Vec<AttemptId> = attempts
            .into_iter()
            .flat_map(|attempts| attempts.difference(&named))
            .filter(|attempt| !on_its_way(attempt))
            .copied()
            .collect();
        for attempt in over {
            self.release(&attempt);
        }
    }

    /// Occupies the slot of an attempt that a gate has running.
    pub fn adopt(&mut self, now: Instant, gate: &Peer, run: &Running) {
        let held = Held {
            host: run.host.clone(),
            team: run.team.clone(),
            urgent: false,
            gate: gate.clone(),
            granted: None,
            since: now,
        };
        self.occupy(run.attempt, held);
    }

    /// The usable hosts.
    pub fn hosts(&self) -> impl Iterator<Item = HostName> {
        self.hosts.keys().cloned()
    }

    /// Whether an attempt occupies a slot.
    #[must_use]
    pub fn holds(&self, attempt: &AttemptId) -> bool {
        self.held.contains_key(attempt)
    }

    /// The grant of an attempt that occupies a slot of a usable host.
    #[must_use]
    pub fn grant_of(&self, attempt: &AttemptId) -> Option<Grant> {
        let held = self.held.get(attempt)?;
        let placed = self.hosts.get(&held.host)?;
        Some(Grant {
            attempt: *attempt,
            host: held.host.clone(),
            addr: placed.addr,
        })
    }

    /// The usable host with the most free slots, one of `avoid` only if nothing else is free.
    /// `admits` says whether a host may get work with so many slots in use.
    #[must_use]
    pub fn pick(
        &self,
        avoid: &[HostName],
        admits: impl Fn(&HostName, u32) -> bool,
    ) -> Option<(&HostName, &Host)> {
        let by_free = self.free.iter().rev().map(|(_, name)| name);
        let mut open = by_free.filter(|name| admits(name, self.in_use(name)));
        let name = open
            .clone()
            .find(|name| !avoid.contains(name))
            .or_else(|| open.next())?;
        self.hosts.get_key_value(name)
    }

    /// Slots that a team occupies.
    #[must_use]
    pub fn running(&self, team: &TeamName) -> u32 {
        self.teams.get(team).copied().unwrap_or(0)
    }

    /// Teams that occupy slots, and how many.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        self.teams.iter().map(|(team, running)| (team, *running))
    }

    /// Slots of all usable hosts.
    #[must_use]
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Slots of usable hosts that are free.
    #[must_use]
    pub const fn vacant(&self) -> u32 {
        self.vacant
    }

    /// Slots that urgent requests occupy.
    #[must_use]
    pub const fn urgent(&self) -> u32 {
        self.urgent
    }

    /// Whether nothing occupies a slot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Slots in use.
    #[must_use]
    pub fn in_use_everywhere(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(u32::MAX)
    }

    /// Hosts with slots in use that take no new work.
    #[must_use]
    pub fn busy(&self) -> Vec<BusyHost> {
        let closed = self
            .used
            .iter()
            .filter(|(host, _)| !self.hosts.contains_key(*host));
        let busy = closed.map(|(host, used)| BusyHost {
            host: host.clone(),
            used: *used,
        });
        busy.collect()
    }

    fn in_use(&self, host: &HostName) -> u32 {
        self.used.get(host).copied().unwrap_or(0)
    }

    fn change_used(&mut self, name: &HostName, change: impl Fn(u32) -> u32) {
        let before = self.in_use(name);
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
