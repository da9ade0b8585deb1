//! The simulated fleet and its invariants.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::name::HostName;
use mimosastep::name::PoolName;
use mimosastep::observe::NoteKind;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Rejection;
use mimosastep::record::State;
use mimosastep::record::UpkeepEnd;
use mimosastep::upkeep::Action;
use mimosastep::upkeep::ListedHost;
use mimosastep::upkeep::Listing;
use mimosastep::upkeep::PlannerInput;
use mimosastep::upkeep::filled_slots;
use mimosastep::upkeep::listing_changes;
use mimosastep::wire::BusyHost;
use mimosastep::wire::ServiceLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::DelayedPlanner;
use super::FleetSize;
use super::Machine;
use super::name;

/// Unix time at which a fleet starts, in milliseconds.
pub const START_MS: u64 = 1_700_000_000_000;
/// How long past states and host lists are kept, in milliseconds.
const HISTORY_MS: u64 = 30_000;

/// A message in flight: a record for the log, or a reboot request to the platform.
enum InFlight {
    Record(Change),
    Reboot(HostName, u64),
}

/// The simulated fleet, and counts of what happened in it.
pub struct Simulation {
    pub now: u64,
    pub state: Rc<State>,
    pub machines: BTreeMap<HostName, Machine>,
    pub planners: Vec<DelayedPlanner>,
    pub rng: StdRng,
    /// Slots that the service of each pool could use.
    pub demand: BTreeMap<PoolName, u32>,
    /// Longest run time of a task, in milliseconds.
    pub run_ms: u64,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Percentage of reboots after which the host does not come back.
    pub lost_percent: u32,
    /// Violated invariants.
    pub violations: Vec<String>,
    pub notes: BTreeMap<NoteKind, usize>,
    pub moves: usize,
    pub maintained: usize,
    pub rejected: usize,
    /// Real time that the steps of the planners took.
    pub planning_time: Duration,
    states: VecDeque<(u64, Rc<State>)>,
    listings: VecDeque<Rc<Listing>>,
    in_flight: Vec<(u64, InFlight)>,
}

impl Simulation {
    pub fn new(size: &FleetSize, seed: u64, planners: Vec<DelayedPlanner>) -> Self {
        let mut sim = Self {
            now: START_MS,
            state: Rc::default(),
            machines: BTreeMap::new(),
            planners,
            rng: StdRng::seed_from_u64(seed),
            demand: BTreeMap::new(),
            run_ms: 20_000,
            reboot_ms: 60_000,
            lost_percent: 0,
            violations: Vec::new(),
            notes: BTreeMap::new(),
            moves: 0,
            maintained: 0,
            rejected: 0,
            planning_time: Duration::ZERO,
            states: VecDeque::new(),
            listings: VecDeque::new(),
            in_flight: Vec::new(),
        };
        for change in size.changes() {
            sim.append(change).expect("the fleet is set up");
        }
        let hosts = sim.state.hosts.keys();
        sim.machines = hosts
            .map(|host| (host.clone(), Machine::default()))
            .collect();
        sim
    }

    /// Appends a record immediately, and checks the invariants if it was accepted.
    pub fn append(&mut self, change: Change) -> Result<u64, Rejection> {
        let record = Record {
            id: RecordId(self.state.offset.into()),
            base: None,
            author: Author::Operator("test".to_owned()),
            at: self.now,
            change: change.clone(),
        };
        let idle = self.is_idle(&change);
        let state = Rc::make_mut(&mut self.state);
        let outcome = state.apply(state.offset, &record.encode()).result();
        match &outcome {
            Ok(_) => self.check_change(&change, idle),
            Err(_) => self.rejected += 1,
        }
        outcome
    }

    /// Advances the virtual time by `step_ms`.
    pub fn step(&mut self, step_ms: u64) {
        self.now += step_ms;
        let now = self.now;
        self.machines.values_mut().for_each(|m| m.end_downtime(now));
        self.deliver();
        self.record_view();
        self.run_tasks(step_ms);
        for index in 0..self.planners.len() {
            self.plan(index);
        }
    }

    /// Takes a host down for `down_ms`.
    pub fn fail(&mut self, host: &HostName, down_ms: u64) {
        let back = self.now.saturating_add(down_ms);
        if let Some(machine) = self.machines.get_mut(host) {
            machine.fail(back);
        }
    }

    /// Picks a random host.
    pub fn any_host(&mut self) -> HostName {
        let index = self.rng.random_range(0..self.machines.len());
        self.machines.keys().nth(index).expect("a host").clone()
    }

    /// Number of slots in use on all hosts.
    pub fn running(&self) -> u64 {
        self.machines
            .values()
            .map(|m| u64::from(m.used_slots))
            .sum()
    }

    /// Longest time since the last maintenance of a host, or since the start for a host that was
    /// not maintained yet, in milliseconds.
    pub fn oldest_ms(&self) -> u64 {
        let hosts = self.state.hosts.values();
        let maintained = hosts.map(|host| host.maintained.max(START_MS)).min();
        self.now - maintained.unwrap_or(self.now)
    }

    fn is_idle(&self, change: &Change) -> bool {
        match change {
            Change::Finish { host, .. } | Change::Move { host, .. } => {
                self.machines[host].is_idle(self.now)
            }
            _ => true,
        }
    }

    fn check_change(&mut self, change: &Change, idle: bool) {
        match change {
            Change::Plan { host, .. } => self.check_budget(host),
            Change::Finish { end, host, plan } => match end {
                UpkeepEnd::Moved => {
                    self.moves += 1;
                    self.expect(idle, format!("{host} moved while it ran tasks"));
                }
                UpkeepEnd::Maintained(_) => {
                    self.maintained += 1;
                    let done = self.machines[host].ended_reboot == *plan;
                    self.expect(done, format!("{host} returned before its reboot"));
                }
                UpkeepEnd::Abandoned => {}
            },
            _ => {}
        }
    }

    fn check_budget(&mut self, host: &HostName) {
        let pool = self.state.hosts[host].pool.clone();
        let budget = self.state.pools[&pool].budget as usize;
        let out = self.state.unusable_hosts(&pool);
        let usable = self.state.usable_hosts(&pool);
        let home = self.state.home_hosts(&pool);
        let holds = out <= budget && usable + budget >= home;
        let text = format!("{pool}: {out} unusable and {usable} of {home} usable, budget {budget}");
        self.expect(holds, text);
    }

    fn expect(&mut self, holds: bool, violation: String) {
        if !holds {
            self.violations.push(violation);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, message) in due {
            match message {
                InFlight::Record(change) => drop(self.append(change)),
                InFlight::Reboot(host, plan) => self.reboot(&host, plan),
            }
        }
    }

    /// Reboots a host as the platform does: at most once for each plan.
    fn reboot(&mut self, host: &HostName, plan: u64) {
        let lost = self.rng.random_range(0..100) < self.lost_percent;
        let down_ms = if lost { u64::MAX / 2 } else { self.reboot_ms };
        let now = self.now;
        let usable = self
            .state
            .hosts
            .get(host)
            .is_some_and(|h| self.state.is_usable(h));
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        if plan <= machine.started_reboot || !machine.is_up() {
            return;
        }
        let idle = machine.is_idle(now);
        machine.started_reboot = plan;
        machine.fail(now + down_ms);
        self.expect(idle, format!("{host} rebooted while it ran tasks"));
        self.expect(!usable, format!("{host} rebooted while it took work"));
    }

    fn record_view(&mut self) {
        let listed_host = |machine: &Machine| ListedHost {
            live: true,
            reboot: machine.ended_reboot,
        };
        let up = self.machines.iter().filter(|(_, machine)| machine.is_up());
        let listing = Listing {
            as_of: self.now,
            hosts: up.map(|(name, m)| (name.clone(), listed_host(m))).collect(),
        };
        self.listings.push_back(Rc::new(listing));
        self.states.push_back((self.now, self.state.clone()));
        let is_recent = |at: u64| at + HISTORY_MS > self.now;
        while self.states.len() > 1 && !is_recent(self.states[0].0) {
            self.states.pop_front();
            self.listings.pop_front();
        }
    }

    fn view(&self, lag_ms: u64) -> (Rc<State>, Rc<Listing>) {
        let at = self.now.saturating_sub(lag_ms);
        let index = self.states.partition_point(|(seen, _)| *seen <= at);
        let index = index.saturating_sub(1);
        (self.states[index].1.clone(), self.listings[index].clone())
    }

    /// Runs tasks on the hosts as schedulers with a delayed state do, and reports the load to the
    /// planners.
    fn run_tasks(&mut self, step_ms: u64) {
        let lag_ms = self.rng.random_range(0..=step_ms.min(3_000));
        let (state, _) = self.view(lag_ms);
        let mut loads = Vec::new();
        let usable = |host: &mimosastep::record::Host| state.is_usable(host);
        for (pool, row) in &state.pools {
            let Some(service) = &row.service else {
                continue;
            };
            let hosts = state.hosts.iter().filter(|(_, host)| host.pool == *pool);
            let (open, closed): (Vec<_>, Vec<_>) = hosts.partition(|(_, host)| usable(host));
            let need = self.demand.get(pool).copied().unwrap_or(0);
            let each = need.div_ceil((open.len() as u32).max(1));
            let mut left = need;
            for (name, host) in &open {
                let machine = self.machines.get_mut(*name).expect("a machine");
                let returned = state.reactivated.get(&host.dc).copied();
                let slots = filled_slots(host.slots, returned, self.now);
                let used = each.min(slots).min(left);
                if machine.is_up() && used > 0 {
                    let run = self.rng.random_range(0..=self.run_ms);
                    machine.used_slots = used;
                    machine.busy_until = machine.busy_until.max(self.now + run);
                    left -= used;
                } else {
                    machine.stop_new_tasks(self.now);
                }
            }
            let mut busy = Vec::new();
            for (name, _) in closed {
                let machine = self.machines.get_mut(name).expect("a machine");
                machine.stop_new_tasks(self.now);
                if machine.used_slots > 0 {
                    busy.push(BusyHost {
                        host: name.clone(),
                        used: machine.used_slots,
                    });
                }
            }
            loads.push(ServiceLoad {
                service: service.clone(),
                waiting: left,
                running: need - left,
                capacity: open.iter().map(|(_, host)| host.slots).sum(),
                busy,
            });
        }
        let scheds: Vec<_> = state.members.keys().cloned().collect();
        for planner in &mut self.planners {
            planner.reports.expire(self.now);
            for (index, node) in scheds.iter().enumerate() {
                let part = loads.iter().skip(index).step_by(scheds.len()).cloned();
                let reports = &mut planner.reports;
                let source = (node.clone(), 1);
                reports.record(self.now, source, state.offset, true, part.collect());
            }
        }
    }

    fn plan(&mut self, index: usize) {
        let (state, listing) = self.view(self.planners[index].lag_ms);
        let planner = &mut self.planners[index];
        let input = PlannerInput {
            state: &state,
            listing: Some(&listing),
            reports: &planner.reports,
        };
        let start = Instant::now();
        let mut actions = planner.planner.step(self.now, &input);
        actions.extend(
            listing_changes(&state, &listing)
                .into_iter()
                .map(Action::Append),
        );
        self.planning_time += start.elapsed();
        let delay_ms = planner.delay_ms;
        for action in actions {
            let at = self.now + self.rng.random_range(0..=delay_ms);
            match action {
                Action::Append(change) => self.in_flight.push((at, InFlight::Record(change))),
                Action::Reboot { host, plan } => {
                    self.in_flight.push((at, InFlight::Reboot(host, plan)))
                }
                Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
            }
        }
    }
}
