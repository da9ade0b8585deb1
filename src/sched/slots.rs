//! The slots of one service's hosts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Instant;

use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::record::Host;
use crate::record::State;
use crate::sched::held::Held;
use crate::wire::AttemptId;
use crate::wire::Grant;

/// Which slots are in use, and by whom.
#[derive(Debug, Default)]
pub struct Slots {
    hosts: BTreeMap<HostName, Host>,
    used: HashMap<HostName, u32>,
    held: HashMap<AttemptId, Held>,
    teams: BTreeMap<TeamName, u32>,
}

impl Slots {
    /// Takes over the usable hosts of a service from a newer state.
    pub fn update(&mut self, state: &State, service: &ServiceName) {
        self.hosts = state
            .hosts_of(service)
            .filter(|(_, host)| state.usable(host))
            .map(|(name, host)| (name.clone(), host.clone()))
            .collect();
    }

    /// Occupies a slot.
    pub fn occupy(&mut self, attempt: AttemptId, held: Held) {
        if self.held.contains_key(&attempt) {
            return;
        }
        *self.used.entry(held.host.clone()).or_default() += 1;
        *self.teams.entry(held.team.clone()).or_default() += 1;
        self.held.insert(attempt, held);
    }

    /// Frees the slot of an attempt.
    pub fn release(&mut self, attempt: &AttemptId) -> Option<Held> {
        let held = self.held.remove(attempt)?;
        if let Some(used) = self.used.get_mut(&held.host) {
            *used -= 1;
        }
        if let Some(running) = self.teams.get_mut(&held.team) {
            *running -= 1;
        }
        Some(held)
    }

    /// Sets when the slots of a lost link are surely free.
    pub fn expire_link(&mut self, link: LinkId, expires: Instant) {
        self.held
            .values_mut()
            .filter(|held| held.link == link)
            .for_each(|held| held.expires = Some(expires));
    }

    /// Frees the slots whose time has come.
    pub fn release_expired(&mut self, now: Instant) {
        let over: Vec<AttemptId> = self
            .held
            .iter()
            .filter(|(_, held)| held.expires.is_some_and(|expires| expires <= now))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in over {
            self.release(&attempt);
        }
    }

    /// The attempts that occupy slots for a gate's link.
    #[must_use]
    pub fn attempts_of(&self, link: LinkId) -> Vec<AttemptId> {
        self.held
            .iter()
            .filter(|(_, held)| held.link == link)
            .map(|(attempt, _)| *attempt)
            .collect()
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

    /// The usable host with the most free slots, `avoid` only if nothing else is free. `admits`
    /// says whether a host may get work with so many slots in use.
    #[must_use]
    pub fn pick(
        &self,
        avoid: &[HostName],
        admits: impl Fn(&HostName, u32) -> bool,
    ) -> Option<(&HostName, &Host)> {
        let free = |name: &HostName, host: &Host| host.slots.saturating_sub(self.in_use(name));
        self.hosts
            .iter()
            .filter(|(name, host)| free(name, host) > 0 && admits(name, self.in_use(name)))
            .max_by_key(|(name, host)| (!avoid.contains(name), free(name, host)))
    }

    /// Slots that a team occupies.
    #[must_use]
    pub fn running(&self, team: &TeamName) -> u32 {
        self.teams.get(team).copied().unwrap_or(0)
    }

    /// Slots in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Slots of all usable hosts.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.hosts.values().map(|host| host.slots).sum()
    }

    fn in_use(&self, host: &HostName) -> u32 {
        self.used.get(host).copied().unwrap_or(0)
    }
}
