//! Measures how much retries add to the load while a whole service fails, and how long after it
//! is in order again requests still fail; in virtual time, over many seeds.
//!
//! Ends with status 1 if a figure is over its target.

#[path = "../tests/dispatch_sim/backend.rs"]
mod backend;
#[path = "../tests/dispatch_sim/call.rs"]
mod call;
#[path = "../tests/dispatch_sim/cluster.rs"]
mod cluster;
#[path = "../tests/dispatch_sim/invariants.rs"]
mod invariants;
#[path = "../tests/dispatch_sim/scenarios.rs"]
mod scenarios;
#[path = "../tests/dispatch_sim/simulation/mod.rs"]
mod simulation;

use std::process::ExitCode;

/// Seeds that are run.
const SEEDS: u64 = 40;
/// Most that retries may add to the load, as a part of it.
const ADDED_TARGET: f64 = 0.1;
/// Retries that the gates' budgets for one service may have saved up.
const SAVED: usize = 30;
/// Longest that requests may fail after an outage, in milliseconds.
const RECOVERY_TARGET: u64 = 2_000;

fn main() -> ExitCode {
    let mut added: f64 = 0.0;
    let mut paid: f64 = 0.0;
    let mut recovery = 0;
    let mut violations = 0;
    let mut served: f64 = 1.0;
    for seed in 0..SEEDS {
        let world = scenarios::outage(seed, None);
        let span = scenarios::OUTAGE_BEGIN..scenarios::OUTAGE_END;
        let (retries, requests) = invariants::retries(&world, |call| {
            call.service == 0 && span.contains(&call.times.0)
        });
        added = added.max(retries as f64 / requests as f64);
        paid = paid.max(retries.saturating_sub(SAVED) as f64 / requests as f64);
        recovery = recovery.max(invariants::recovery_ms(&world, 0, scenarios::OUTAGE_END));
        violations += invariants::violations(&world).len();
    }
    for seed in 0..SEEDS {
        let world = scenarios::faults(seed, None);
        violations += invariants::violations(&world).len();
        served = served.min(invariants::served_fraction(&world));
    }
    println!("retries in an outage, part of the load: {added:.3}");
    println!("without saved retries: {paid:.3}, target {ADDED_TARGET}");
    println!("failures after an outage: {recovery} ms, target {RECOVERY_TARGET} ms");
    println!("served under every fault, at least: {served:.3}");
    println!("broken promises: {violations}, target 0");
    let met = paid <= ADDED_TARGET && recovery <= RECOVERY_TARGET && violations == 0;
    ExitCode::from(u8::from(!met))
}
