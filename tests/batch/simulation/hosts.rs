//! Hosts and the executors that run on them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosastep::batch::Event;
use mimosastep::batch::Executor;
use mimosastep::batch::Host;
use mimosastep::batch::HostPhase;
use mimosastep::batch::Resources;
use mimosastep::name::DcName;
use mimosastep::name::ExecutorId;
use mimosastep::name::HostName;
use mimosastep::name::ServiceName;

use crate::fake_executor::FakeExecutor;
use crate::simulation::AWAY_MS;
use crate::simulation::HOST_CPU;
use crate::simulation::HostState;
use crate::simulation::Simulation;
use crate::simulation::service;

/// Capacity of a host.
const CAPACITY: Resources = Resources {
    cpu: HOST_CPU,
    memory: 64_000,
    gpu: 0,
};

impl Simulation {
    /// Starts an executor on each host that is back up, except in the spare pool.
    pub(super) fn start_executors(&mut self) {
        let mut restarted = Vec::new();
        for (host, host_state) in &mut self.hosts {
            if host_state
                .back_at
                .is_some_and(|back_at| back_at <= self.now.at)
            {
                host_state.back_at = None;
                if Some(&host_state.pool) != self.spare_pool.as_ref() {
                    restarted.push(host.clone());
                }
            }
        }
        for host in restarted {
            self.incarnations += 1;
            let id =
                ExecutorId::new(&format!("{host}.{}", self.incarnations)).expect("invalid name");
            let mut fake = FakeExecutor::new(CAPACITY, self.now);
            fake.tail_latency = (self.tail_latency)(100);
            self.fakes.insert(id.clone(), fake);
            if let Some(host_state) = self.hosts.get_mut(&host) {
                host_state.executor = Some(id);
            }
        }
    }

    /// Sends the elected owner the platform's list of executors and hosts.
    pub(super) fn publish_listing(&mut self) {
        self.listed_at = self.now.at;
        let mut executors = Vec::new();
        let mut hosts = Vec::new();
        for (name, host_state) in &self.hosts {
            hosts.push(Host {
                name: name.clone(),
                pool: host_state.pool.clone(),
                phase: match host_state.back_at {
                    None => HostPhase::Up,
                    Some(_) if host_state.moving => HostPhase::Moving,
                    Some(_) => HostPhase::Maintenance,
                },
                dc: dc_of(name),
                capacity: CAPACITY,
            });
            let Some(id) = &host_state.executor else {
                continue;
            };
            if self.fakes[id].down || self.unlisted.contains(id) {
                continue;
            }
            let entry = executor_entry(id, name, &host_state.pool, &self.fakes[id]);
            let stated = self.odd_entries.get(id);
            let (born, addr) = stated.copied().unwrap_or((entry.born, entry.addr));
            executors.push(Executor {
                draining: self.draining.contains(id),
                born,
                addr,
                ..entry
            });
        }
        for (id, host, service) in &self.stale_listings {
            let entry = executor_entry(id, host, service, &self.fakes[id]);
            executors.push(entry);
        }
        hosts.extend(self.odd_hosts.iter().cloned());
        self.schedule(0, Event::Executors(executors));
        self.schedule(0, Event::Hosts(hosts));
    }

    /// Takes a host down and ends its executor. The host comes back later, in `pool` if given.
    pub(super) fn take_down(&mut self, host: &HostName, pool: Option<ServiceName>) {
        let host_state = self.hosts.get_mut(host).expect("unknown host");
        if let Some(id) = host_state.executor.take()
            && let Some(fake) = self.fakes.get_mut(&id)
        {
            assert!(
                fake.runs.is_empty(),
                "{host} went down while tasks ran there"
            );
            fake.down = true;
        }
        host_state.back_at = Some(self.now.at + Duration::from_millis(AWAY_MS));
        host_state.moving = pool.is_some();
        if let Some(pool) = pool {
            host_state.pool = pool;
        }
    }

    /// Ends an executor and starts it anew under the same id, at another address if `port` differs.
    pub fn restart_executor(&mut self, id: &ExecutorId, port: u16) {
        let fake = self.fakes.get_mut(id).expect("unknown executor");
        let earlier = std::mem::replace(fake, FakeExecutor::new(CAPACITY, self.now));
        fake.clock_percent = earlier.clock_percent;
        fake.lease_limit = earlier.lease_limit;
        fake.addr.set_port(port);
    }

    /// Ends all executors and starts them anew, each under its id and at its address, before the
    /// platform lists that: its lists don't change from now on.
    pub fn restart_unlisted(&mut self) {
        self.lists_paused = true;
        let ids: Vec<ExecutorId> = self.fakes.keys().cloned().collect();
        for id in ids {
            let port = self.fakes[&id].addr.port();
            self.restart_executor(&id, port);
        }
    }

    /// Moves the host of `executor` to another pool without an answer to any owner. The platform
    /// keeps listing the executor.
    pub fn relocate_host(&mut self, executor: &ExecutorId, pool: &str) {
        let host_state = HostState {
            pool: service(pool),
            executor: None,
            back_at: Some(self.now.at + Duration::from_millis(AWAY_MS)),
            moving: true,
        };
        let (host, previous) = find(&mut self.hosts, executor);
        self.stale_listings
            .push((executor.clone(), host, previous.pool.clone()));
        *previous = host_state;
    }

    /// Pool of a host.
    pub(super) fn pool_of(&self, host: &HostName) -> Option<&ServiceName> {
        self.hosts.get(host).map(|host_state| &host_state.pool)
    }

    /// Whether a host is down for a move or for maintenance.
    pub(super) fn is_away(&self, host: &HostName) -> bool {
        let host_state = self.hosts.get(host);
        host_state.is_some_and(|host_state| host_state.back_at.is_some())
    }

    /// Executors of a pool that are up and don't drain.
    pub fn executors_of(&self, pool: &str) -> impl Iterator<Item = &FakeExecutor> {
        let pool = service(pool);
        let hosts = self.hosts.values();
        let ids = hosts.filter(move |host_state| host_state.pool == pool);
        let ids = ids.filter_map(|host_state| host_state.executor.as_ref());
        let ids = ids.filter(|id| !self.draining.contains(*id));
        ids.map(|id| &self.fakes[id]).filter(|fake| !fake.down)
    }

    /// Number of hosts that are down for a move or for maintenance.
    pub fn count_away(&self) -> usize {
        let away = self
            .hosts
            .values()
            .filter(|host_state| host_state.back_at.is_some());
        away.count()
    }
}

/// The platform's entry for an executor.
fn executor_entry(
    id: &ExecutorId,
    host: &HostName,
    service: &ServiceName,
    fake: &FakeExecutor,
) -> Executor {
    Executor {
        id: id.clone(),
        host: Some(host.clone()),
        service: service.clone(),
        addr: fake.addr,
        dc: dc_of(host),
        draining: false,
        capacity: CAPACITY,
        labels: vec![Arc::from("a"), Arc::from("r1")],
        born: fake.born,
    }
}

fn find<'a>(
    hosts: &'a mut BTreeMap<HostName, HostState>,
    executor: &ExecutorId,
) -> (HostName, &'a mut HostState) {
    let mut hosts = hosts.iter_mut();
    let found = hosts.find(|(_, host_state)| host_state.executor.as_ref() == Some(executor));
    let (host, host_state) = found.expect("no host runs this executor");
    (host.clone(), host_state)
}

/// Data centre of a host: `dc-a` if its number is even, else `dc-b`.
pub fn dc_of(host: &HostName) -> DcName {
    let even = host.as_str().ends_with(['0', '2', '4', '6', '8']);
    DcName::new(if even { "dc-a" } else { "dc-b" }).expect("invalid name")
}
