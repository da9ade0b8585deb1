//! Measures the load that retries add while all hosts of a service fail, and for how long requests
//! still fail after the service has recovered. Runs in virtual time, over many seeds.
//!
//! Exits with status 1 if a target is missed.

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

/// Number of seeds to simulate.
const SEEDS: u64 = 40;
/// Largest load that retries may add, as a fraction of the requests, [`SAVED_RETRIES`] aside.
const RETRY_TARGET: f64 = 0.1;
/// Retries that the gates' retry budgets for one service can accumulate.
const SAVED_RETRIES: usize = 30;
/// Longest time for which requests may fail after an outage, in milliseconds.
const RECOVERY_TARGET_MS: u64 = 2_000;

fn main() -> ExitCode {
    let mut max_added: f64 = 0.0;
    let mut max_unsaved: f64 = 0.0;
    let mut max_recovery = 0;
    let mut violations = 0;
    let mut min_served: f64 = 1.0;
    for seed in 0..SEEDS {
        let sim = scenarios::outage(seed, None);
        let outage_times = scenarios::OUTAGE_BEGIN..scenarios::OUTAGE_END;
        let (retries, requests) = invariants::retries(&sim, |call| {
            call.service == 0 && outage_times.contains(&call.times.0)
        });
        max_added = max_added.max(retries as f64 / requests as f64);
        max_unsaved =
            max_unsaved.max(retries.saturating_sub(SAVED_RETRIES) as f64 / requests as f64);
        max_recovery = max_recovery.max(invariants::recovery_ms(&sim, 0, scenarios::OUTAGE_END));
        violations += invariants::violations(&sim).len();
    }
    for seed in 0..SEEDS {
        let sim = scenarios::faults(seed, None);
        violations += invariants::violations(&sim).len();
        min_served = min_served.min(invariants::served_fraction(&sim));
    }
    println!("retries in an outage, part of the load: {max_added:.3}");
    println!("without saved retries: {max_unsaved:.3}, target {RETRY_TARGET}");
    println!("failures after an outage: {max_recovery} ms, target {RECOVERY_TARGET_MS} ms");
    println!("served under every fault, at least: {min_served:.3}");
    println!("broken promises: {violations}, target 0");
    let is_met =
        max_unsaved <= RETRY_TARGET && max_recovery <= RECOVERY_TARGET_MS && violations == 0;
    ExitCode::from(u8::from(!is_met))
}
