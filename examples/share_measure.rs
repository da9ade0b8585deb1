//! Measures how far teams are from their fair shares, how soon urgent requests start, and how many
//! permits are held by no process.
//!
//! Two large teams overload one service after the other with five times the load that it can run,
//! while four small ones keep sending. Runs in virtual time with fixed seeds, and exits with status
//! 1 if a target is missed. Run it with `cargo run --example share_measure`.

use std::collections::VecDeque;
use std::process::ExitCode;

use mimosastep::record::Team;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[path = "../tests/share_fleet/mod.rs"]
mod share_fleet;

use share_fleet::Defect;
use share_fleet::Fleet;
use share_fleet::fleet_state;

/// Team, weight, and requests per second to the service that is at its peak.
const TEAMS: [(&str, u32, u64); 6] = [
    ("a", 4, 500),
    ("b", 4, 250),
    ("c", 1, 20),
    ("d", 1, 20),
    ("e", 1, 20),
    ("f", 1, 10),
];
const SERVICES: usize = 5;
/// Slots per service.
const SLOTS: u32 = 16;
const SCHEDS: usize = 3;
const GATES: usize = 3;
/// Limit of each large team, in slots over the whole fleet.
const LIMIT: u32 = 40;
/// Time for which each service is at its peak, in milliseconds.
const PEAK_MS: u64 = 4_000;
/// Longest 99th percentile of the time until an urgent request starts, in milliseconds.
const URGENT_TARGET_MS: u64 = 1_000;
/// Largest mean distance from the fair share, as a fraction of a service's slots. One slot in
/// twenty is less than the share of a team with the smallest weight.
const DISTANCE_TARGET: f64 = 0.05;

/// A policy to compare with.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Requests start in the order of arrival.
    Fifo,
    /// Each team has a fixed number of slots, by its weight.
    Static,
}

/// Distances from the fair share, as fractions of a service's slots.
#[derive(Default)]
struct Distance {
    sum: f64,
    greatest: f64,
    count: f64,
}

impl Distance {
    /// Adds the distance of each team's running requests from its weighted max-min fair share.
    fn add(&mut self, running: &[u32], waiting: &[u32]) {
        let demand: Vec<f64> = running
            .iter()
            .zip(waiting)
            .map(|(r, w)| f64::from(r + w))
            .collect();
        let shares = fair_shares(&demand);
        for (running, share) in running.iter().zip(shares) {
            let distance = (f64::from(*running) - share).abs() / f64::from(SLOTS);
            self.sum += distance;
            self.greatest = self.greatest.max(distance);
            self.count += 1.0;
        }
    }

    fn mean(&self) -> f64 {
        self.sum / self.count
    }
}

/// Returns each team's weighted max-min fair share of a service's slots.
fn fair_shares(demand: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demand.len()];
    let mut free_slots = f64::from(SLOTS);
    let mut unsatisfied: Vec<usize> = (0..demand.len()).collect();
    while free_slots > 1e-9 && !unsatisfied.is_empty() {
        let total: f64 = unsatisfied.iter().map(|i| f64::from(TEAMS[*i].1)).sum();
        let need = |i: &usize| (demand[*i] - shares[*i]) / f64::from(TEAMS[*i].1);
        let step = unsatisfied
            .iter()
            .map(need)
            .fold(free_slots / total, f64::min);
        for i in &unsatisfied {
            shares[*i] += step * f64::from(TEAMS[*i].1);
        }
        free_slots -= step * total;
        unsatisfied.retain(|i| demand[*i] - shares[*i] > 1e-9);
    }
    shares
}

/// Simulates one service at its peak under a policy without escrow of permits.
///
/// Returns the distances from the fair shares, and how long each urgent request waited, in
/// milliseconds.
fn baseline(policy: Policy, seed: u64) -> (Distance, Vec<u64>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue: VecDeque<(usize, u64)> = VecDeque::new();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let (mut distance, mut urgent) = (Distance::default(), Vec::new());
    for now in 0..PEAK_MS {
        running.retain(|(_, ends)| *ends > now);
        for (team, (_, _, rate)) in TEAMS.iter().enumerate() {
            if rng.random_range(0..1_000) < *rate {
                queue.push_back((team, now));
            }
        }
        while running.len() < SLOTS as usize {
            let weight: u32 = TEAMS.iter().map(|team| team.1).sum();
            let quota = |team: usize| (SLOTS * TEAMS[team].1).div_ceil(weight) as usize;
            let used = |team: usize| running.iter().filter(|(of, _)| *of == team).count();
            let next = queue
                .iter()
                .position(|(team, _)| policy == Policy::Fifo || used(*team) < quota(*team));
            let Some((team, submitted_at)) = next.and_then(|next| queue.remove(next)) else {
                break;
            };
            if team == 5 {
                urgent.push(now - submitted_at);
            }
            running.push((team, now + rng.random_range(20..180)));
        }
        if now > 500 && now.is_multiple_of(50) {
            let count = |list: &mut dyn Iterator<Item = usize>| {
                let mut counts = [0; 6];
                list.for_each(|team| counts[team] += 1);
                counts
            };
            let runs = count(&mut running.iter().map(|(team, _)| *team));
            let waits = count(&mut queue.iter().map(|(team, _)| *team));
            distance.add(&runs, &waits);
        }
    }
    (distance, urgent)
}

fn new_fleet(seed: u64) -> Fleet {
    let rows = TEAMS.map(|(team, weight, _)| {
        let row = Team {
            weight,
            limit: if weight > 1 { LIMIT } else { 80 },
            urgent: team == "f",
        };
        (team, row)
    });
    let mut fleet = Fleet::new(
        seed,
        SCHEDS,
        GATES,
        fleet_state(SERVICES, 2, SLOTS / 2, &rows),
        Defect::None,
    );
    fleet.run_ms = |rng| rng.random_range(20..180);
    fleet
}

/// Returns the service that is at its peak.
fn peak_service(now: u64) -> usize {
    (now / PEAK_MS) as usize % SERVICES
}

/// Submits the requests of one millisecond.
fn submit_requests(fleet: &mut Fleet) {
    let peak = peak_service(fleet.now);
    for (team, _, rate) in TEAMS {
        for service in 0..SERVICES {
            let rate = if service == peak { rate } else { rate / 20 + 1 };
            if fleet.rng.random_range(0..1_000) < rate {
                let gate = SCHEDS + fleet.rng.random_range(0..GATES);
                fleet.submit(gate, team, &format!("s{service}"), team == "f", 3_000);
            }
        }
    }
}

fn percentile(waits: &mut [u64], fraction: f64) -> u64 {
    waits.sort_unstable();
    let index = (waits.len() as f64 * fraction) as usize;
    waits
        .get(index.min(waits.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

/// Measures the recovery after the loss of a scheduler: the one with the ledger of team `a`, or
/// another one. Team `a` has more demand than its limit, at all services.
///
/// Returns the milliseconds from the loss until the team runs at least eight tenths of its limit
/// for the rest of the run, and the number of violations.
fn recovery(seed: u64, lose_ledger: bool) -> (u64, usize) {
    let mut fleet = new_fleet(seed);
    let mut lost = 0;
    let mut last_low = 0;
    while fleet.now < 40_000 {
        for service in 0..SERVICES {
            let gate = SCHEDS + fleet.rng.random_range(0..GATES);
            if fleet.rng.random_bool(0.15) {
                fleet.submit(gate, "a", &format!("s{service}"), false, 3_000);
            }
        }
        match fleet.now {
            10_000 => {
                let ledger = fleet.ledger("a").unwrap_or(0);
                lost = if lose_ledger {
                    ledger
                } else {
                    (ledger + 1) % SCHEDS
                };
                fleet.kill(lost);
            }
            11_500 => fleet.remove_member(lost),
            13_000 => fleet.boot(lost),
            _ => {}
        }
        fleet.step();
        if fleet.now > 10_000 && fleet.running("a") * 10 < LIMIT * 8 {
            last_low = fleet.now;
        }
    }
    (last_low.saturating_sub(10_000), fleet.violations.len())
}

fn main() -> ExitCode {
    let mut missed = Vec::new();
    let (mut distance, mut unheld, mut samples) = (Distance::default(), 0.0, 0.0);
    let (mut urgent, mut violations) = (Vec::new(), 0);
    for seed in 0..3 {
        let mut fleet = new_fleet(seed);
        while fleet.now < 24_000 {
            submit_requests(&mut fleet);
            fleet.step();
            let since = fleet.now % PEAK_MS;
            if fleet.now > PEAK_MS && since > 500 && fleet.now.is_multiple_of(50) {
                let demand = TEAMS.map(|(team, ..)| fleet.demand(team, peak_service(fleet.now)));
                distance.add(&demand.map(|d| d[0]), &demand.map(|d| d[1]));
                unheld += f64::from(LIMIT.saturating_sub(fleet.held("a")));
                samples += 1.0;
            }
        }
        let started = fleet
            .outcomes
            .iter()
            .filter(|o| o.urgent && o.submitted_at > PEAK_MS);
        urgent.extend(started.map(|o| match o.retry_after {
            Some(_) => u64::MAX,
            None => o.settled_at - o.submitted_at,
        }));
        violations += fleet.violations.len();
    }
    let p99 = percentile(&mut urgent, 0.99);
    println!("policy    distance mean  greatest  urgent p99 ms");
    println!(
        "escrow    {:>13.3} {:>9.3} {p99:>14}",
        distance.mean(),
        distance.greatest
    );
    for (label, policy) in [("fifo", Policy::Fifo), ("static", Policy::Static)] {
        let (distance, mut waits) = baseline(policy, 1);
        let p99 = percentile(&mut waits, 0.99);
        println!(
            "{label:<9} {:>13.3} {:>9.3} {p99:>14}",
            distance.mean(),
            distance.greatest
        );
    }
    println!(
        "permits of team a in nobody's hands: {:.2} of {LIMIT} on average",
        unheld / samples
    );
    for (label, ledger) in [("holder", false), ("ledger", true)] {
        let runs = [0, 1, 2].map(|seed| recovery(seed, ledger));
        violations += runs.iter().map(|run| run.1).sum::<usize>();
        println!(
            "a {label} lost: 8 tenths of the limit in use again after {:?} ms",
            runs.map(|run| run.0)
        );
    }
    println!("starts beyond a limit: {violations}");
    if p99 > URGENT_TARGET_MS {
        missed.push("urgent work starts late");
    }
    if violations > 0 {
        missed.push("a limit was exceeded");
    }
    if distance.mean() > DISTANCE_TARGET {
        missed.push("teams are far from their shares");
    }
    for what in &missed {
        println!("broken: {what}");
    }
    ExitCode::from(u8::from(!missed.is_empty()))
}
