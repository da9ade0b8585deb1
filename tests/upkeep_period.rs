//! Weeks of upkeep in virtual time, with the losses of the letter.

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
/// Losses in a million hosts and steps: 81 failures and 610 restarts of 4,400 hosts a day.
const FAILURES: u32 = 64;
const RESTARTS: u32 = 481;

/// A tenth of the size of the letter.
const TENTH: FleetSize = FleetSize {
    pools: 19,
    hosts: 21,
    spares: 41,
    dcs: 8,
    budget: 5,
    ..FleetSize::CURRENT
};

fn world(shape: &FleetSize, seed: u64) -> Simulation {
    let planner = || DelayedPlanner::new(Policy::default(), 2_000, 2_000);
    let mut world = Simulation::new(shape, seed, vec![planner(), planner()]);
    world.reboot_ms = 10 * MINUTE_MS;
    world
}

/// The losses of one step.
fn lose(world: &mut Simulation) {
    let hosts: Vec<HostName> = world.machines.keys().cloned().collect();
    for host in hosts {
        match world.rng.random_range(0..1_000_000) {
            0..FAILURES => world.fail(&host, 4 * HOUR_MS),
            FAILURES..545 => world.fail(&host, RESTARTS.into()),
            _ => {}
        }
    }
}

#[test_case(FleetSize::CURRENT, 1; "today")]
#[test_case(TENTH, 2; "a tenth of the letter")]
fn every_host_is_maintained_within_the_period(shape: FleetSize, seed: u64) {
    let mut world = world(&shape, seed);
    for step in 0..50 * DAY_MS / STEP_MS {
        lose(&mut world);
        // A data centre is out for six hours every other month.
        match step {
            6_000 | 6_072 => drop(world.append(Change::MarkDc {
                dc: name("dc1"),
                active: step == 6_072,
            })),
            _ => {}
        }
        world.step(STEP_MS);
        assert!(world.oldest_ms() < 35 * DAY_MS, "step {step}");
    }
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(
        world.maintained >= 2 * shape.total(),
        "{}",
        world.maintained
    );
}

#[test]
fn waves_stop_where_hosts_do_not_come_back() {
    let mut world = world(&FleetSize::CURRENT, 3);
    world.lost_percent = 100;
    for _ in 0..DAY_MS / STEP_MS {
        world.step(STEP_MS);
    }
    let lost = world.machines.values().filter(|m| !m.is_up()).count();
    assert!(
        (1..=RACK_HOSTS).contains(&lost),
        "{lost} hosts were lost to reboots"
    );
    assert_eq!(world.maintained, 0);
}
