//! Invariants that hold at every step with two concurrent planners, operators and host failures.

mod upkeep_world;

use mimosastep::record::Change;
use mimosastep::upkeep::Policy;
use rand::RngExt;
use test_case::test_case;

use upkeep_world::DelayedPlanner;
use upkeep_world::FleetSize;
use upkeep_world::Simulation;
use upkeep_world::name;

const STEP_MS: u64 = 5_000;
const MINUTE_MS: u64 = 60_000;

/// Returns a policy for simulated days of one hour.
fn short_policy() -> Policy {
    Policy {
        period_ms: 35 * 60 * MINUTE_MS,
        drain_ms: 3 * MINUTE_MS,
        reboot_ms: 3 * MINUTE_MS,
        retry_ms: 15 * MINUTE_MS,
        hold_ms: 60 * MINUTE_MS,
        ..Policy::default()
    }
}

fn simulation(seed: u64) -> Simulation {
    let planners = vec![
        DelayedPlanner::new(short_policy(), seed % 4 * 1_000, 2_000),
        DelayedPlanner::new(short_policy(), 12_000, 20_000),
    ];
    Simulation::new(&FleetSize::CURRENT, seed, planners)
}

/// Sets the demand: services in turn have a peak of five times their mean, and fall to a twentieth.
fn set_demand(sim: &mut Simulation, tick: u64) {
    let peak = (tick / 24) % 5;
    for pool in 0..5 {
        let slots = if pool == peak { 120 } else { 2 };
        sim.demand.insert(name(&format!("p{pool}")), slots);
    }
}

fn inject_event(sim: &mut Simulation) {
    let host = sim.any_host();
    let change = match sim.rng.random_range(0..400) {
        0..3 => return sim.fail(&host, 4 * MINUTE_MS),
        3 => return fail_rack(sim, &host),
        4..8 => Change::MarkHost {
            host,
            active: false,
        },
        8..14 => Change::MarkHost { host, active: true },
        14 => Change::MarkDc {
            dc: name("dc1"),
            active: false,
        },
        15..18 => Change::MarkDc {
            dc: name("dc1"),
            active: true,
        },
        18..20 => Change::Drain(host),
        20..40 => Change::Undrain {
            host,
            maintained: None,
        },
        _ => return,
    };
    let _ = sim.append(change);
}

fn fail_rack(sim: &mut Simulation, host: &mimosastep::name::HostName) {
    let rack = sim.state.hosts[host].rack.clone();
    let hosts = sim.state.hosts.iter().filter(|(_, h)| h.rack == rack);
    let lost: Vec<_> = hosts.map(|(name, _)| name.clone()).collect();
    lost.iter().for_each(|host| sim.fail(host, 6 * MINUTE_MS));
}

#[test_case(0; "seeds from 0")]
#[test_case(25; "seeds from 25")]
#[test_case(50; "seeds from 50")]
#[test_case(75; "seeds from 75")]
fn budgets_hold_and_no_planned_stop_cuts_a_task(first: u64) {
    let (mut moves, mut maintained, mut rejected) = (0, 0, 0);
    for seed in first..first + 25 {
        let mut sim = simulation(seed);
        sim.lost_percent = [0, 5, 40][seed as usize % 3];
        for tick in 0..1_440 {
            set_demand(&mut sim, tick);
            inject_event(&mut sim);
            sim.step(STEP_MS);
            assert_eq!(
                sim.violations,
                Vec::<String>::new(),
                "seed {seed}, tick {tick}"
            );
        }
        moves += sim.moves;
        maintained += sim.maintained;
        rejected += sim.rejected;
    }
    assert!(
        moves > 100 && maintained > 100 && rejected > 100,
        "{moves} {maintained} {rejected}"
    );
}
