//! Invariants that hold in every run, and measurements of a run.

use mimosastep::wire::Verdict;

use crate::call::Answer;
use crate::call::Call;
use crate::call::JobKind;
use crate::cluster;
use crate::simulation::Simulation;

/// Retries that each retry budget can have accumulated.
const MAX_SAVED_RETRIES: usize = 10;

/// Returns the number of retries, and of requests, which add to the retry budgets, among the
/// selected calls.
pub fn retries(sim: &Simulation, is_counted: impl Fn(&Call) -> bool) -> (usize, usize) {
    let calls = sim.calls.values().filter(|call| is_counted(call));
    let extra_runs = |call: &Call| call.runs.saturating_sub(1) as usize;
    calls.fold((0, 0), |(retries, requests), call| {
        (retries + extra_runs(call), requests + 1)
    })
}

/// Milliseconds from `end` to the last request of a service that was sent after `end` and not
/// served.
pub fn recovery_ms(sim: &Simulation, service: usize, end: u64) -> u64 {
    let served = |answer: &Answer| matches!(answer, Answer::Service(_));
    let sent = sim.calls.values().filter(|call| call.service == service);
    let unserved = sent.filter(|call| call.times.0 >= end && !call.answers.iter().all(served));
    unserved.map(|call| call.times.0 - end).max().unwrap_or(0)
}

/// Fraction of the requests that were served, without failing jobs and callers that disconnected.
pub fn served_fraction(sim: &Simulation) -> f64 {
    let connected = sim.calls.values().filter(|call| !call.abandoned);
    let succeeding: Vec<&Call> = connected
        .filter(|call| call.job == JobKind::Succeeding)
        .collect();
    let served = |call: &&&Call| matches!(call.answers[..], [Answer::Service(_)]);
    succeeding.iter().filter(served).count() as f64 / succeeding.len() as f64
}

/// Describes every violation of an invariant.
pub fn violations(sim: &Simulation) -> Vec<String> {
    let mut found = sim.violations.clone();
    for (request, call) in &sim.calls {
        let answers = call.answers.len();
        if answers != 1 && !(call.abandoned && answers == 0) {
            found.push(format!("{request}: {answers} answers"));
        }
        for answer in &call.answers {
            match answer {
                Answer::Service(body) | Answer::Error(body) if body != request => {
                    found.push(format!("{request}: the answer to {body}"));
                }
                Answer::Failure(code, Verdict::NotRun) if call.starts > 0 => {
                    found.push(format!("{request}: not run, {code:?}, but started"));
                }
                _ => {}
            }
        }
        if !call.idempotent && call.starts > 1 {
            found.push(format!("{request}: started {} times", call.starts));
        }
    }
    let (retries, requests) = retries(sim, |_| true);
    let saved = MAX_SAVED_RETRIES * cluster::PROCESSES * cluster::SERVICES.len();
    if retries > requests / 10 + saved {
        found.push(format!("{retries} retries of {requests} requests"));
    }
    if sim.pending() > 0 {
        found.push(format!("{} left pending", sim.pending()));
    }
    found
}
