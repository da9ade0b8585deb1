//! Measures upkeep in virtual time, against fixed pools and one host at a time.
//!
//! `cargo run --release --example upkeep_measure`; the exit status is 1 if a bound is broken.

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
/// Lengths of peaks, in seconds.
const PEAKS_S: [u64; 2] = [15, 60];
/// A step each second may use 3.3% of a core.
const STEP_LIMIT_US: u128 = 33_000;

const SIZES: [(&str, FleetSize); 2] =
    [("today", FleetSize::CURRENT), ("letter", FleetSize::TARGET)];

struct Bounds(bool);

impl Bounds {
    fn hold(&mut self, what: &str, holds: bool) {
        if !holds {
            println!("  BROKEN: {what}");
        }
        self.0 &= holds;
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

/// A world whose hosts were all maintained now.
fn settled(shape: &FleetSize, policy: &Policy) -> Simulation {
    let planning = DelayedPlanner::new(policy.clone(), 1_000, 500);
    let mut world = Simulation::new(shape, SEED, vec![planning]);
    let hosts: Vec<_> = world.state.hosts.keys().cloned().collect();
    let maintained = Some(world.now);
    for host in hosts {
        let _ = world.append(Change::Drain(host.clone()));
        let _ = world.append(Change::Undrain { host, maintained });
    }
    world
}

fn policies() -> [(&'static str, Policy); 2] {
    let fixed = Policy {
        moves: false,
        ..Policy::default()
    };
    [("moves", Policy::default()), ("fixed pools", fixed)]
}

/// What a run came to.
#[derive(Default)]
struct Sums {
    wanted: u64,
    best: u64,
    done: u64,
    /// Host-seconds in spare pools or draining.
    buffer: u64,
}

impl Sums {
    fn second(&mut self, world: &Simulation, wanted: u64) {
        let usable = |host: &&mimosastep::record::Host| world.state.is_usable(host);
        let hosts = world.state.hosts.values();
        let slots: u64 = hosts
            .clone()
            .filter(usable)
            .map(|h| u64::from(h.slots))
            .sum();
        let idle = hosts.filter(|h| h.draining || h.pool == name("spare"));
        self.wanted += wanted;
        self.best += wanted.min(slots);
        self.done += world.running().min(wanted);
        self.buffer += idle.count() as u64;
    }

    fn share(&self) -> f64 {
        self.done as f64 / self.best as f64 * 100.0
    }
}

fn need_all(world: &mut Simulation, shape: &FleetSize, need: impl Fn(usize) -> u32) -> u64 {
    let demand = (0..shape.pools).map(|pool| (name(&format!("p{pool}")), need(pool)));
    world.demand = demand.collect();
    world.demand.values().map(|need| u64::from(*need)).sum()
}

fn peaks(bounds: &mut Bounds) {
    println!("peaks of five times the mean in turn, for an hour");
    println!("size    peak s  plan         done of best %  buffer host-h  moves");
    let runs = SIZES
        .iter()
        .flat_map(|size| PEAKS_S.map(|peak_s| (*size, peak_s)));
    for ((size, shape), peak_s) in runs {
        let mut shares = Vec::new();
        for (plan, policy) in policies() {
            let mut world = settled(&shape, &policy);
            let mut sums = Sums::default();
            let slots = shape.hosts as u32 * shape.slots;
            for second in 0..3_600 {
                let peak = (second / peak_s) as usize % 5;
                let wanted = need_all(&mut world, &shape, |pool| {
                    let mean = slots * 3 / 10;
                    if pool % 5 == peak {
                        mean * 5
                    } else {
                        mean / 20
                    }
                });
                world.step(1_000);
                sums.second(&world, wanted);
            }
            let buffer = sums.buffer as f64 / 3_600.0;
            println!(
                "{size:7} {peak_s:6}  {plan:12} {:14.1} {buffer:14.1} {:6}",
                sums.share(),
                world.moves
            );
            bounds.hold("no rule is broken", world.violations.is_empty());
            let allowed = policy.moves_allowed(shape.total());
            // Each move to a pool that is short has one back home.
            bounds.hold("moves an hour", world.moves <= 2 * allowed);
            shares.push(sums.share());
        }
        bounds.hold("moves do no less work", shares[0] >= shares[1]);
    }
}

fn outage(bounds: &mut Bounds) {
    println!("a data centre out for 120 s, all services at 80% of their pools");
    println!("size    plan         out %  filling %  moves");
    for (size, shape) in SIZES {
        let mut shares = Vec::new();
        for (plan, policy) in policies() {
            let mut world = settled(&shape, &policy);
            let (mut out, mut back) = (Sums::default(), Sums::default());
            let need = shape.hosts as u32 * shape.slots * 8 / 10;
            for second in 0..300 {
                if second == 60 || second == 180 {
                    let active = second == 180;
                    let dc = name("dc1");
                    world.append(Change::MarkDc { dc, active }).expect("a mark");
                }
                let wanted = need_all(&mut world, &shape, |_| need);
                world.step(1_000);
                match second {
                    60..180 => out.second(&world, wanted),
                    180..240 => back.second(&world, wanted),
                    _ => {}
                }
            }
            let (during, filling) = (out.share(), back.share());
            println!(
                "{size:7} {plan:12} {during:5.1} {filling:10.1} {:6}",
                world.moves
            );
            bounds.hold("no rule is broken", world.violations.is_empty());
            shares.push(during);
        }
        bounds.hold("moves do no less work", shares[0] >= shares[1]);
    }
}

fn rollout(bounds: &mut Bounds) {
    println!("maintenance of all hosts, reboots of 10 min, for at most 14 days");
    println!("size    at once  hosts  days   out host-h");
    for (size, shape) in SIZES {
        let one = Policy {
            at_once: Some(1),
            ..Policy::default()
        };
        for (plan, policy) in [("waves", Policy::default()), ("one host", one)] {
            let planning = DelayedPlanner::new(policy, 1_000, 500);
            let mut world = Simulation::new(&shape, SEED, vec![planning]);
            world.reboot_ms = 10 * MINUTE_MS;
            let start = world.now;
            let mut out = 0;
            while world.maintained < shape.total() && world.now < start + 14 * DAY_MS {
                world.step(2 * MINUTE_MS);
                out += world.state.hosts.values().filter(|h| h.draining).count();
            }
            let days = (world.now - start) as f64 / DAY_MS as f64;
            let hours = out as f64 / 30.0;
            println!(
                "{size:7} {plan:8} {:5} {days:5.2} {hours:12.1}",
                world.maintained
            );
            bounds.hold("no rule is broken", world.violations.is_empty());
            if plan == "waves" {
                let all = world.maintained >= shape.total();
                bounds.hold("all hosts fit into two fifths of the period", all);
            }
        }
    }
}

fn cpu(bounds: &mut Bounds) {
    println!("processor time of a planner's step, one a second");
    println!("size    median us  most us");
    for (size, shape) in SIZES {
        let mut world = settled(&shape, &Policy::default());
        need_all(&mut world, &shape, |pool| if pool == 0 { 4_000 } else { 8 });
        let mut times: Vec<u128> = (0..200).map(|_| timed(&mut world)).collect();
        times.sort_unstable();
        println!("{size:7} {:9} {:8}", times[100], times[199]);
        bounds.hold("a step's processor time", times[100] <= STEP_LIMIT_US);
    }
}

/// Microseconds of a planner's step.
fn timed(world: &mut Simulation) -> u128 {
    let before = world.planning_time;
    world.step(1_000);
    (world.planning_time - before).as_micros()
}
