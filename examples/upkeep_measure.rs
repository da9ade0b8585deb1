//! Measures the planning of host moves and maintenance in virtual time, compared with fixed pools
//! and with maintenance of one host at a time.
//!
//! Run it with `cargo run --release --example upkeep_measure`. It exits with status 1 if a bound is
//! exceeded.

#[path = "../tests/upkeep_world/mod.rs"]
mod upkeep_world;

use std::process::ExitCode;

use mimosastep::record::Change;
use mimosastep::upkeep::Policy;

use upkeep_world::DelayedPlanner;
use upkeep_world::FleetSize;
use upkeep_world::Simulation;
use upkeep_world::name;

const SEED: u64 = 1;
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
/// Durations of the load peaks, in seconds.
const PEAKS_S: [u64; 2] = [15, 60];
/// Largest median time of a planner's step, in microseconds: 3.3% of a core at one step a second.
const STEP_LIMIT_US: u128 = 33_000;

const SIZES: [(&str, FleetSize); 2] =
    [("today", FleetSize::CURRENT), ("letter", FleetSize::TARGET)];

/// Whether all bounds have been met so far.
struct Bounds(bool);

impl Bounds {
    fn check(&mut self, what: &str, is_met: bool) {
        if !is_met {
            println!("  BROKEN: {what}");
        }
        self.0 &= is_met;
    }
}

fn main() -> ExitCode {
    let mut bounds = Bounds(true);
    peaks(&mut bounds);
    outage(&mut bounds);
    rollout(&mut bounds);
    cpu(&mut bounds);
    if bounds.0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Sets up a fleet whose hosts have all just been maintained, so that no maintenance is due.
fn maintained_fleet(size: &FleetSize, policy: &Policy) -> Simulation {
    let planner = DelayedPlanner::new(policy.clone(), 1_000, 500);
    let mut sim = Simulation::new(size, SEED, vec![planner]);
    let hosts: Vec<_> = sim.state.hosts.keys().cloned().collect();
    let maintained = Some(sim.now);
    for host in hosts {
        let _ = sim.append(Change::Drain(host.clone()));
        let _ = sim.append(Change::Undrain { host, maintained });
    }
    sim
}

fn policies() -> [(&'static str, Policy); 2] {
    let fixed = Policy {
        moves: false,
        ..Policy::default()
    };
    [("moves", Policy::default()), ("fixed pools", fixed)]
}

/// Sums over the seconds of a run.
#[derive(Default)]
struct Totals {
    /// Slot-seconds of demand.
    wanted: u64,
    /// Slot-seconds of demand that the usable hosts of the whole fleet could serve.
    achievable: u64,
    /// Slot-seconds of demand that was served.
    done: u64,
    /// Host-seconds of hosts that were spare or draining.
    idle_seconds: u64,
}

impl Totals {
    fn add_second(&mut self, sim: &Simulation, wanted: u64) {
        let usable = |host: &&mimosastep::record::Host| sim.state.is_usable(host);
        let hosts = sim.state.hosts.values();
        let slots: u64 = hosts
            .clone()
            .filter(usable)
            .map(|h| u64::from(h.slots))
            .sum();
        let idle = hosts.filter(|h| h.draining || h.pool == name("spare"));
        self.wanted += wanted;
        self.achievable += wanted.min(slots);
        self.done += sim.running().min(wanted);
        self.idle_seconds += idle.count() as u64;
    }

    /// Percentage of the possible work that was done.
    fn percentage(&self) -> f64 {
        self.done as f64 / self.achievable as f64 * 100.0
    }
}

/// Sets the demand of each pool's service, and returns the total.
fn set_demand(sim: &mut Simulation, size: &FleetSize, need: impl Fn(usize) -> u32) -> u64 {
    let demand = (0..size.pools).map(|pool| (name(&format!("p{pool}")), need(pool)));
    sim.demand = demand.collect();
    sim.demand.values().map(|need| u64::from(*need)).sum()
}

fn peaks(bounds: &mut Bounds) {
    println!("peaks of five times the mean in turn, for an hour");
    println!("size    peak s  plan         done of best %  buffer host-h  moves");
    let runs = SIZES
        .iter()
        .flat_map(|fleet| PEAKS_S.map(|peak_s| (*fleet, peak_s)));
    for ((label, size), peak_s) in runs {
        let mut percentages = Vec::new();
        for (plan, policy) in policies() {
            let mut sim = maintained_fleet(&size, &policy);
            let mut totals = Totals::default();
            let slots = size.hosts as u32 * size.slots;
            for second in 0..3_600 {
                let peak = (second / peak_s) as usize % 5;
                let wanted = set_demand(&mut sim, &size, |pool| {
                    let mean = slots * 3 / 10;
                    if pool % 5 == peak {
                        mean * 5
                    } else {
                        mean / 20
                    }
                });
                sim.step(1_000);
                totals.add_second(&sim, wanted);
            }
            let idle_hours = totals.idle_seconds as f64 / 3_600.0;
            println!(
                "{label:7} {peak_s:6}  {plan:12} {:14.1} {idle_hours:14.1} {:6}",
                totals.percentage(),
                sim.moves
            );
            bounds.check("no rule is broken", sim.violations.is_empty());
            let allowed = policy.moves_allowed(size.total());
            // The limit counts moves to pools that are short of slots; each has a move back.
            bounds.check("moves an hour", sim.moves <= 2 * allowed);
            percentages.push(totals.percentage());
        }
        bounds.check("moves do no less work", percentages[0] >= percentages[1]);
    }
}

fn outage(bounds: &mut Bounds) {
    println!("a data centre out for 120 s, all services at 80% of their pools");
    println!("size    plan         out %  filling %  moves");
    for (label, size) in SIZES {
        let mut percentages = Vec::new();
        for (plan, policy) in policies() {
            let mut sim = maintained_fleet(&size, &policy);
            let (mut out, mut refill) = (Totals::default(), Totals::default());
            let need = size.hosts as u32 * size.slots * 8 / 10;
            for second in 0..300 {
                if second == 60 || second == 180 {
                    let active = second == 180;
                    let dc = name("dc1");
                    sim.append(Change::MarkDc { dc, active })
                        .expect("mark accepted by the state");
                }
                let wanted = set_demand(&mut sim, &size, |_| need);
                sim.step(1_000);
                match second {
                    60..180 => out.add_second(&sim, wanted),
                    180..240 => refill.add_second(&sim, wanted),
                    _ => {}
                }
            }
            let (during, filling) = (out.percentage(), refill.percentage());
            println!(
                "{label:7} {plan:12} {during:5.1} {filling:10.1} {:6}",
                sim.moves
            );
            bounds.check("no rule is broken", sim.violations.is_empty());
            percentages.push(during);
        }
        bounds.check("moves do no less work", percentages[0] >= percentages[1]);
    }
}

fn rollout(bounds: &mut Bounds) {
    println!("maintenance of all hosts, reboots of 10 min, for at most 14 days");
    println!("size    at once  hosts  days   out host-h");
    for (label, size) in SIZES {
        let one_host = Policy {
            at_once: Some(1),
            ..Policy::default()
        };
        for (plan, policy) in [("waves", Policy::default()), ("one host", one_host)] {
            let planner = DelayedPlanner::new(policy, 1_000, 500);
            let mut sim = Simulation::new(&size, SEED, vec![planner]);
            sim.reboot_ms = 10 * MINUTE_MS;
            let start = sim.now;
            let mut out = 0;
            while sim.maintained < size.total() && sim.now < start + 14 * DAY_MS {
                sim.step(2 * MINUTE_MS);
                out += sim.state.hosts.values().filter(|h| h.draining).count();
            }
            let days = (sim.now - start) as f64 / DAY_MS as f64;
            let hours = out as f64 / 30.0;
            println!(
                "{label:7} {plan:8} {:5} {days:5.2} {hours:12.1}",
                sim.maintained
            );
            bounds.check("no rule is broken", sim.violations.is_empty());
            if plan == "waves" {
                let all = sim.maintained >= size.total();
                bounds.check("all hosts fit into two fifths of the period", all);
            }
        }
    }
}

fn cpu(bounds: &mut Bounds) {
    println!("processor time of a planner's step, one a second");
    println!("size    median us  most us");
    for (label, size) in SIZES {
        let mut sim = maintained_fleet(&size, &Policy::default());
        set_demand(&mut sim, &size, |pool| if pool == 0 { 4_000 } else { 8 });
        let mut times: Vec<u128> = (0..200).map(|_| step_time(&mut sim)).collect();
        times.sort_unstable();
        println!("{label:7} {:9} {:8}", times[100], times[199]);
        bounds.check("a step's processor time", times[100] <= STEP_LIMIT_US);
    }
}

/// Runs the simulation for a second, and returns the microseconds that the planner took.
fn step_time(sim: &mut Simulation) -> u128 {
    let before = sim.planning_time;
    sim.step(1_000);
    (sim.planning_time - before).as_micros()
}
