//! Weeks of host maintenance in virtual time, with the failure rates that the design has to
//! support.

mod upkeep_world;

use mimosastep::name::HostName;
use mimosastep::record::Change;
use mimosastep::upkeep::Policy;
use mimosastep::upkeep::RACK_HOSTS;
use rand::RngExt;
use test_case::test_case;

use upkeep_world::DelayedPlanner;
use upkeep_world::FleetSize;
use upkeep_world::Simulation;
use upkeep_world::name;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;
const STEP_MS: u64 = 5 * MINUTE_MS;
/// Failures and restarts per million hosts and steps: 81 failures and 610 restarts a day for 4,400
/// hosts.
const FAILURES: u32 = 64;
const RESTARTS: u32 = 481;

/// A tenth of [`FleetSize::TARGET`].
const TENTH: FleetSize = FleetSize {
    pools: 19,
    hosts: 21,
    spares: 41,
    dcs: 8,
    budget: 5,
    ..FleetSize::CURRENT
};

fn simulation(size: &FleetSize, seed: u64) -> Simulation {
    let planner = || DelayedPlanner::new(Policy::default(), 2_000, 2_000);
    let mut sim = Simulation::new(size, seed, vec![planner(), planner()]);
    sim.reboot_ms = 10 * MINUTE_MS;
    sim
}

/// Injects the failures and restarts of one step.
fn inject_failures(sim: &mut Simulation) {
    let hosts: Vec<HostName> = sim.machines.keys().cloned().collect();
    for host in hosts {
        match sim.rng.random_range(0..1_000_000) {
            0..FAILURES => sim.fail(&host, 4 * HOUR_MS),
            FAILURES..545 => sim.fail(&host, RESTARTS.into()),
            _ => {}
        }
    }
}

#[test_case(FleetSize::CURRENT, 1; "today")]
#[test_case(TENTH, 2; "a tenth of the letter")]
fn every_host_is_maintained_within_the_period(size: FleetSize, seed: u64) {
    let mut sim = simulation(&size, seed);
    for step in 0..50 * DAY_MS / STEP_MS {
        inject_failures(&mut sim);
        // A data centre is out of service for six hours every other month.
        match step {
            6_000 | 6_072 => drop(sim.append(Change::MarkDc {
                dc: name("dc1"),
                active: step == 6_072,
            })),
            _ => {}
        }
        sim.step(STEP_MS);
        assert!(sim.oldest_ms() < 35 * DAY_MS, "step {step}");
    }
    assert_eq!(sim.violations, Vec::<String>::new());
    assert!(sim.maintained >= 2 * size.total(), "{}", sim.maintained);
}

#[test]
fn waves_stop_where_hosts_do_not_come_back() {
    let mut sim = simulation(&FleetSize::CURRENT, 3);
    sim.lost_percent = 100;
    for _ in 0..DAY_MS / STEP_MS {
        sim.step(STEP_MS);
    }
    let lost = sim.machines.values().filter(|m| !m.is_up()).count();
    assert!(
        (1..=RACK_HOSTS).contains(&lost),
        "{lost} hosts were lost to reboots"
    );
    assert_eq!(sim.maintained, 0);
}
