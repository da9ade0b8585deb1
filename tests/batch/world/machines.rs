//! Hosts and the executors that are their lives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
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

use crate::fake::Fake;
use crate::world::AWAY_MS;
use crate::world::HOST_CPU;
use crate::world::Machine;
use crate::world::World;
use crate::world::service;

/// What a host has.
const CAPACITY: Resources = Resources {
    cpu: HOST_CPU,
    memory: 64_000,
    gpu: 0,
};

impl World {
    pub(super) fn bring_back(&mut self) {
        let mut births = Vec::new();
        for (host, machine) in &mut self.machines {
            if machine.back.is_some_and(|back| back <= self.now.at) {
                machine.back = None;
                if Some(&machine.pool) != self.spare.as_ref() {
                    births.push(host.clone());
                }
            }
        }
        for host in births {
            self.lives += 1;
            let id = ExecutorId::new(&format!("{host}.{}", self.lives)).expect("a name");
            let mut fake = Fake::new(CAPACITY, self.now);
            fake.tail = (self.tail)(100);
            self.fakes.insert(id.clone(), fake);
            if let Some(machine) = self.machines.get_mut(&host) {
                machine.executor = Some(id);
            }
        }
    }

    /// Tells the owner of executors and hosts, as the platform does a few times a second.
    pub(super) fn list(&mut self) {
        self.listed = self.now.at;
        let mut executors = Vec::new();
        let mut hosts = Vec::new();
        for (name, machine) in &self.machines {
            hosts.push(Host {
                name: name.clone(),
                pool: machine.pool.clone(),
                phase: match machine.back {
                    None => HostPhase::Up,
                    Some(_) if machine.moving => HostPhase::Moving,
                    Some(_) => HostPhase::Maintenance,
                },
                dc: dc_of(name),
                capacity: CAPACITY,
            });
            let Some(id) = &machine.executor else {
                continue;
            };
            if self.fakes[id].down {
                continue;
            }
            executors.push(Executor {
                draining: self.leaving.contains(id),
                ..executor_entry(id, name, &machine.pool, self.fakes[id].born)
            });
        }
        for (id, host, service) in &self.stale {
            let entry = executor_entry(id, host, service, self.fakes[id].born);
            executors.push(entry);
        }
        self.later(0, Event::Executors(executors));
        self.later(0, Event::Hosts(hosts));
    }

    /// Ends a host's executor; the host comes back, in another pool if one is named.
    pub(super) fn take_away(&mut self, host: &HostName, pool: Option<ServiceName>) {
        let machine = self.machines.get_mut(host).expect("a known host");
        if let Some(id) = machine.executor.take()
            && let Some(fake) = self.fakes.get_mut(&id)
        {
            assert!(
                fake.works.is_empty(),
                "{host} went down while tasks ran there"
            );
            fake.down = true;
        }
        machine.back = Some(self.now.at + Duration::from_millis(AWAY_MS));
        machine.moving = pool.is_some();
        if let Some(pool) = pool {
            machine.pool = pool;
        }
    }

    /// A host has moved to another pool by an order of which nobody knows the outcome; `executor`
    /// was its life until then.
    pub fn relocate(&mut self, executor: &ExecutorId, pool: &str) {
        let machine = Machine {
            pool: service(pool),
            executor: None,
            back: Some(self.now.at + Duration::from_millis(AWAY_MS)),
            moving: true,
        };
        let (host, was) = find(&mut self.machines, executor);
        self.stale.push((executor.clone(), host, was.pool.clone()));
        *was = machine;
    }

    /// Number of hosts that are away.
    pub fn down(&self) -> usize {
        let away = self
            .machines
            .values()
            .filter(|machine| machine.back.is_some());
        away.count()
    }
}

/// What the platform lists of an executor that is the life of a host.
fn executor_entry(id: &ExecutorId, host: &HostName, service: &ServiceName, born: u64) -> Executor {
    Executor {
        id: id.clone(),
        host: Some(host.clone()),
        service: service.clone(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        dc: dc_of(host),
        draining: false,
        capacity: CAPACITY,
        labels: vec![Arc::from("a"), Arc::from("r1")],
        born,
    }
}

fn find<'a>(
    machines: &'a mut BTreeMap<HostName, Machine>,
    executor: &ExecutorId,
) -> (HostName, &'a mut Machine) {
    let mut machines = machines.iter_mut();
    let found = machines.find(|(_, machine)| machine.executor.as_ref() == Some(executor));
    let (host, machine) = found.expect("a host of that executor");
    (host.clone(), machine)
}

/// Hosts of an even number stand in `dc-a`, the others in `dc-b`.
pub fn dc_of(host: &HostName) -> DcName {
    let even = host.as_str().ends_with(['0', '2', '4', '6', '8']);
    DcName::new(if even { "dc-a" } else { "dc-b" }).expect("a name")
}
