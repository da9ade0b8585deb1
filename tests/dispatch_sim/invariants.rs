//! What must hold of every run.

use mimosastep::wire::Verdict;

use crate::call::Answer;
use crate::call::Call;
use crate::call::Job;
use crate::cluster;
use crate::simulation::Simulation;

/// Retries that each budget may have saved up.
const SAVED: usize = 10;

/// Retries, and the requests that pay for them, among the calls of interest.
pub fn retries(world: &Simulation, counts: impl Fn(&Call) -> bool) -> (usize, usize) {
    let calls = world.calls.values().filter(|call| counts(call));
    let again = |call: &Call| call.runs.saturating_sub(1) as usize;
    calls.fold((0, 0), |(retries, requests), call| {
        (retries + again(call), requests + 1)
    })
}

/// Milliseconds from `end` until the last request of a service that was sent after it and not
/// served.
pub fn recovery_ms(world: &Simulation, service: usize, end: u64) -> u64 {
    let served = |answer: &Answer| matches!(answer, Answer::Service(_));
    let sent = world.calls.values().filter(|call| call.service == service);
    let unserved = sent.filter(|call| call.times.0 >= end && !call.answers.iter().all(served));
    unserved.map(|call| call.times.0 - end).max().unwrap_or(0)
}

/// Part of the sound requests, whose callers stayed, that were served.
pub fn served_fraction(world: &Simulation) -> f64 {
    let stayed = world.calls.values().filter(|call| !call.gone);
    let sound: Vec<&Call> = stayed.filter(|call| call.job == Job::Sound).collect();
    let served = |call: &&&Call| matches!(call.answers[..], [Answer::Service(_)]);
    sound.iter().filter(served).count() as f64 / sound.len() as f64
}

/// Every violation, in words.
pub fn violations(world: &Simulation) -> Vec<String> {
    let mut found = world.found.clone();
    for (request, call) in &world.calls {
        let answers = call.answers.len();
        if answers != 1 && !(call.gone && answers == 0) {
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
    let (retries, requests) = retries(world, |_| true);
    let floor = SAVED * cluster::PROCESSES * cluster::SERVICES.len();
    if retries > requests / 10 + floor {
        found.push(format!("{retries} retries of {requests} requests"));
    }
    if world.pending() > 0 {
        found.push(format!("{} left pending", world.pending()));
    }
    found
}
