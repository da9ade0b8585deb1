//! What happens in the simulated worlds.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::call::Job;
use crate::cluster;
use crate::simulation::Break;
use crate::simulation::Fault;
use crate::simulation::Simulation;

/// When the whole service of [`outage`] begins to fail, in milliseconds.
pub const OUTAGE_BEGIN: u64 = 4_000;
/// When the whole service of [`outage`] is in order again, in milliseconds.
pub const OUTAGE_END: u64 = 10_000;

/// A world with every kind of fault at a time drawn from the seed, after all has been answered.
pub fn faults(seed: u64, broken: Option<Break>) -> Simulation {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut world = Simulation::open(seed, broken);
    world.load(1_000, 20_000, 60, Job::Sound);
    world.load(1_000, 20_000, 2, Job::Failing);
    let mut at = || rng.random_range(1_500..18_000);
    let (labels, prices) = (cluster::addr(0, 0), cluster::addr(1, 1));
    let mut plan = vec![
        (at(), Fault::Silence(labels)),
        (at(), Fault::Silence(prices)),
        (at(), Fault::Wave(2_000)),
        (at(), Fault::CutGate(0, Duration::from_secs(6))),
    ];
    plan.extend((0..4).map(|_| (at(), Fault::LoseLink)));
    let (failing, hanging, down, out) = (at(), at(), at(), at());
    plan.push((failing, Fault::Alter(labels, |b| b.fail_all = true)));
    plan.push((
        failing + 8_000,
        Fault::Alter(labels, |b| b.fail_all = false),
    ));
    plan.push((hanging, Fault::Alter(prices, |b| b.hang = true)));
    plan.push((hanging + 4_000, Fault::Alter(prices, |b| b.hang = false)));
    plan.push((down, Fault::Alter(cluster::addr(0, 3), |b| b.down = true)));
    plan.push((
        down + 5_000,
        Fault::Alter(cluster::addr(0, 3), |b| b.down = false),
    ));
    plan.push((out, Fault::MarkDc(2, false)));
    plan.push((out + 9_000, Fault::MarkDc(2, true)));
    if seed.is_multiple_of(2) {
        plan.push((at(), Fault::KillSched((seed / 2 % 3) as usize)));
    }
    if seed.is_multiple_of(3) {
        plan.push((at(), Fault::KillGate(2)));
    }
    plan.into_iter()
        .for_each(|(at, fault)| world.fault(at, fault));
    world.run_until(60_000);
    world
}

/// A world in which a whole service fails for six seconds.
pub fn outage(seed: u64, broken: Option<Break>) -> Simulation {
    let mut world = Simulation::open(seed, broken);
    world.breakage = 0.0;
    world.load(1_000, 15_000, 100, Job::Sound);
    for addr in (0..cluster::HOSTS).map(|index| cluster::addr(0, index)) {
        world.fault(OUTAGE_BEGIN, Fault::Alter(addr, |b| b.fail_all = true));
        world.fault(OUTAGE_END, Fault::Alter(addr, |b| b.fail_all = false));
    }
    world.run_until(40_000);
    world
}
