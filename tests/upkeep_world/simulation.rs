//! The fleet and what is checked of it.

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
use mimosastep::wire::Busy;
use mimosastep::wire::Load;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::DelayedPlanner;
use super::FleetSize;
use super::Machine;
use super::name;

/// Unix time at which a fleet starts, in milliseconds.
pub const START_MS: u64 = 1_700_000_000_000;
/// How long views of the past are kept, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// A message under way: a record for the log, or a request to the platform.
enum Sent {
    Record(Change),
    Reboot(HostName, u64),
}

/// The fleet, its operators, and counts of what happened.
pub struct Simulation {
    pub now: u64,
    pub state: Rc<State>,
    pub machines: BTreeMap<HostName, Machine>,
    pub planners: Vec<DelayedPlanner>,
    pub rng: StdRng,
    /// Slots that each service could use.
    pub demand: BTreeMap<PoolName, u32>,
    /// Longest run time of a task.
    pub run_ms: u64,
    /// Time a reboot takes, and how many of a hundred hosts do not come back from one.
    pub reboot_ms: u64,
    pub lost_percent: u32,
    /// Broken rules.
    pub violations: Vec<String>,
    pub notes: BTreeMap<NoteKind, usize>,
    pub moves: usize,
    pub maintained: usize,
    pub rejected: usize,
    /// Time that the planners' steps took.
    pub planning_time: Duration,
    views: VecDeque<(u64, Rc<State>)>,
    listings: VecDeque<Rc<Listing>>,
    sent: Vec<(u64, Sent)>,
}

impl Simulation {
    pub fn new(shape: &FleetSize, seed: u64, planners: Vec<DelayedPlanner>) -> Self {
        let mut world = Self {
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
            views: VecDeque::new(),
            listings: VecDeque::new(),
            sent: Vec::new(),
        };
        for change in shape.changes() {
            world.append(change).expect("the fleet is set up");
        }
        let hosts = world.state.hosts.keys();
        world.machines = hosts
            .map(|host| (host.clone(), Machine::default()))
            .collect();
        world
    }

    /// Appends a record now, and checks what it does.
    pub fn append(&mut self, change: Change) -> Result<u64, Rejection> {
        let record = Record {
            id: RecordId(self.state.offset.into()),
            base: None,
            author: Author::Operator("test".to_owned()),
            at: self.now,
            change: change.clone(),
        };
        let empty = self.is_empty(&change);
        let state = Rc::make_mut(&mut self.state);
        let outcome = state.apply(state.offset, &record.encode()).result();
        match &outcome {
            Ok(_) => self.check(&change, empty),
            Err(_) => self.rejected += 1,
        }
        outcome
    }

    /// Lets `step_ms` pass.
    pub fn step(&mut self, step_ms: u64) {
        self.now += step_ms;
        let now = self.now;
        self.machines.values_mut().for_each(|m| m.wake(now));
        self.deliver();
        self.keep_views();
        self.serve(step_ms);
        for index in 0..self.planners.len() {
            self.plan(index);
        }
    }

    /// A host fails, and is up again after `down_ms`.
    pub fn fail(&mut self, host: &HostName, down_ms: u64) {
        let back = self.now.saturating_add(down_ms);
        if let Some(machine) = self.machines.get_mut(host) {
            machine.fail(back);
        }
    }

    /// A host picked at random.
    pub fn any_host(&mut self) -> HostName {
        let index = self.rng.random_range(0..self.machines.len());
        self.machines.keys().nth(index).expect("a host").clone()
    }

    /// Slots in use everywhere.
    pub fn running(&self) -> u64 {
        self.machines.values().map(|m| u64::from(m.used)).sum()
    }

    /// Longest time since a host in service was maintained.
    pub fn oldest_ms(&self) -> u64 {
        let hosts = self.state.hosts.values();
        let maintained = hosts.map(|host| host.maintained.max(START_MS)).min();
        self.now - maintained.unwrap_or(self.now)
    }

    fn is_empty(&self, change: &Change) -> bool {
        match change {
            Change::Finish { host, .. } | Change::Move { host, .. } => {
                self.machines[host].is_idle(self.now)
            }
            _ => true,
        }
    }

    fn check(&mut self, change: &Change, empty: bool) {
        match change {
            Change::Plan { host, .. } => self.check_budget(host),
            Change::Finish { end, host, plan } => match end {
                UpkeepEnd::Moved => {
                    self.moves += 1;
                    self.expect(empty, format!("{host} moved while it ran tasks"));
                }
                UpkeepEnd::Maintained(_) => {
                    self.maintained += 1;
                    let done = self.machines[host].reboot == *plan;
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
        let kept = out <= budget && usable + budget >= home;
        let text = format!("{pool}: {out} out and {usable} of {home} usable, budget {budget}");
        self.expect(kept, text);
    }

    fn expect(&mut self, holds: bool, fault: String) {
        if !holds {
            self.violations.push(fault);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.sent = later;
        for (_, sent) in due {
            match sent {
                Sent::Record(change) => drop(self.append(change)),
                Sent::Reboot(host, plan) => self.reboot(&host, plan),
            }
        }
    }

    /// The platform reboots a host, once for each plan.
    fn reboot(&mut self, host: &HostName, plan: u64) {
        let lost = self.rng.random_range(0..100) < self.lost_percent;
        let took = if lost { u64::MAX / 2 } else { self.reboot_ms };
        let now = self.now;
        let used = self
            .state
            .hosts
            .get(host)
            .is_some_and(|h| self.state.is_usable(h));
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        if plan <= machine.asked || !machine.is_up() {
            return;
        }
        let idle = machine.is_idle(now);
        machine.asked = plan;
        machine.fail(now + took);
        self.expect(idle, format!("{host} rebooted while it ran tasks"));
        self.expect(!used, format!("{host} rebooted while it took work"));
    }

    fn keep_views(&mut self) {
        let listed = |machine: &Machine| ListedHost {
            live: true,
            reboot: machine.reboot,
        };
        let up = self.machines.iter().filter(|(_, machine)| machine.is_up());
        let listing = Listing {
            as_of: self.now,
            hosts: up.map(|(name, m)| (name.clone(), listed(m))).collect(),
        };
        self.listings.push_back(Rc::new(listing));
        self.views.push_back((self.now, self.state.clone()));
        let kept = |at: u64| at + KEPT_MS > self.now;
        while self.views.len() > 1 && !kept(self.views[0].0) {
            self.views.pop_front();
            self.listings.pop_front();
        }
    }

    fn view(&self, lag_ms: u64) -> (Rc<State>, Rc<Listing>) {
        let at = self.now.saturating_sub(lag_ms);
        let index = self.views.partition_point(|(seen, _)| *seen <= at);
        let index = index.saturating_sub(1);
        (self.views[index].1.clone(), self.listings[index].clone())
    }

    /// Schedulers place work by what they know, and report to the planners.
    fn serve(&mut self, step_ms: u64) {
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
                    machine.used = used;
                    machine.busy = machine.busy.max(self.now + run);
                    left -= used;
                } else {
                    machine.rest(self.now);
                }
            }
            let mut busy = Vec::new();
            for (name, _) in closed {
                let machine = self.machines.get_mut(name).expect("a machine");
                machine.rest(self.now);
                if machine.used > 0 {
                    busy.push(Busy {
                        host: name.clone(),
                        used: machine.used,
                    });
                }
            }
            loads.push(Load {
                service: service.clone(),
                waiting: left,
                running: need - left,
                capacity: open.iter().map(|(_, host)| host.slots).sum(),
                busy,
            });
        }
        let scheds: Vec<_> = state.members.keys().cloned().collect();
        for planning in &mut self.planners {
            planning.reports.expire(self.now);
            for (index, node) in scheds.iter().enumerate() {
                let own = loads.iter().skip(index).step_by(scheds.len()).cloned();
                let reports = &mut planning.reports;
                let source = (node.clone(), 1);
                reports.record(self.now, source, state.offset, true, own.collect());
            }
        }
    }

    fn plan(&mut self, index: usize) {
        let (state, listing) = self.view(self.planners[index].lag_ms);
        let planning = &mut self.planners[index];
        let input = PlannerInput {
            state: &state,
            listing: Some(&listing),
            reports: &planning.reports,
        };
        let begun = Instant::now();
        let mut actions = planning.planner.step(self.now, &input);
        actions.extend(
            listing_changes(&state, &listing)
                .into_iter()
                .map(Action::Append),
        );
        self.planning_time += begun.elapsed();
        let delay_ms = planning.delay_ms;
        for action in actions {
            let at = self.now + self.rng.random_range(0..=delay_ms);
            match action {
                Action::Append(change) => self.sent.push((at, Sent::Record(change))),
                Action::Reboot { host, plan } => self.sent.push((at, Sent::Reboot(host, plan))),
                Action::Note(note) => *self.notes.entry(note.kind).or_default() += 1,
            }
        }
    }
}
