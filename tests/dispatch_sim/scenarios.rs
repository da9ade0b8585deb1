//! Simulated scenarios.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::call::JobKind;
use crate::cluster;
use crate::simulation::Defect;
use crate::simulation::Fault;
use crate::simulation::Simulation;

/// When the outage of [`outage`] begins, in milliseconds since the start.
pub const OUTAGE_BEGIN: u64 = 4_000;
/// When the outage of [`outage`] ends, in milliseconds since the start.
pub const OUTAGE_END: u64 = 10_000;

/// Runs every kind of fault, each at a time drawn from the seed, long enough for all requests to be
/// answered.
pub fn faults(seed: u64, defect: Option<Defect>) -> Simulation {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut sim = Simulation::new(seed, defect);
    sim.schedule_load(1_000, 20_000, 60, JobKind::Succeeding);
    sim.schedule_load(1_000, 20_000, 2, JobKind::Failing);
    let mut at = || rng.random_range(1_500..18_000);
    let (labels, prices) = (cluster::addr(0, 0), cluster::addr(1, 1));
    let mut plan = vec![
        (at(), Fault::SilenceConnections(labels)),
        (at(), Fault::SilenceConnections(prices)),
        (at(), Fault::Burst(2_000)),
        (at(), Fault::StallState(0, Duration::from_secs(6))),
    ];
    plan.extend((0..4).map(|_| (at(), Fault::DropLink)));
    let (failing_at, hanging_at, down_at, out_at) = (at(), at(), at(), at());
    plan.push((
        failing_at,
        Fault::ModifyBackend(labels, |b| b.fail_all = true),
    ));
    plan.push((
        failing_at + 8_000,
        Fault::ModifyBackend(labels, |b| b.fail_all = false),
    ));
    plan.push((hanging_at, Fault::ModifyBackend(prices, |b| b.hang = true)));
    plan.push((
        hanging_at + 4_000,
        Fault::ModifyBackend(prices, |b| b.hang = false),
    ));
    plan.push((
        down_at,
        Fault::ModifyBackend(cluster::addr(0, 3), |b| b.down = true),
    ));
    plan.push((
        down_at + 5_000,
        Fault::ModifyBackend(cluster::addr(0, 3), |b| b.down = false),
    ));
    plan.push((out_at, Fault::MarkDc(2, false)));
    plan.push((out_at + 9_000, Fault::MarkDc(2, true)));
    if seed.is_multiple_of(2) {
        plan.push((at(), Fault::KillSched((seed / 2 % 3) as usize)));
    }
    if seed.is_multiple_of(3) {
        plan.push((at(), Fault::KillGate(2)));
    }
    plan.into_iter()
        .for_each(|(at, fault)| sim.schedule_fault(at, fault));
    sim.run_until(60_000);
    sim
}

/// Runs an outage of six seconds, in which every host of one service fails.
pub fn outage(seed: u64, defect: Option<Defect>) -> Simulation {
    let mut sim = Simulation::new(seed, defect);
    sim.break_probability = 0.0;
    sim.schedule_load(1_000, 15_000, 100, JobKind::Succeeding);
    for addr in (0..cluster::HOSTS).map(|index| cluster::addr(0, index)) {
        sim.schedule_fault(
            OUTAGE_BEGIN,
            Fault::ModifyBackend(addr, |b| b.fail_all = true),
        );
        sim.schedule_fault(
            OUTAGE_END,
            Fault::ModifyBackend(addr, |b| b.fail_all = false),
        );
    }
    sim.run_until(40_000);
    sim
}
