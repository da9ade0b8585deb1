//! Tests of executors that restart, and of entries in the list that only seem to say so.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use mimosastep::batch::RunOutcome;
use mimosastep::name::ExecutorId;
use test_case::test_case;

use crate::simulation::Simulation;
use crate::simulation::actions::OTHER_PORT;
use crate::simulation::step;

/// Port of the true executors.
const TRUE_PORT: u16 = 1;
/// Port at which nobody answers.
const SILENT_PORT: u16 = 9;
/// Number of tasks of a job that leaves as much capacity free.
const TASKS: u32 = 8;

/// A site with two executors, on which tasks of one job run for `ms` milliseconds; returns it with
/// an executor that runs some of them.
fn start_runs(ms: u64) -> (Simulation, ExecutorId) {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.script = Box::new(move |_, _| (ms, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(TASKS)]);
    sim.run(500);
    assert_eq!(sim.starts.len(), TASKS as usize);
    let busy = sim.starts[0].3.clone();
    (sim, busy)
}

/// Guards against tasks that start elsewhere while they run, or that lose their leases, because
/// another writer's entry under the key of their executor states a later start or another address.
#[test_case(60_000, TRUE_PORT, false; "later start")]
#[test_case(60_000, SILENT_PORT, false; "later start where nobody answers")]
#[test_case(60_000, OTHER_PORT, false; "later start where another executor is")]
#[test_case(0, SILENT_PORT, false; "address where nobody answers")]
#[test_case(0, OTHER_PORT, false; "address of another executor")]
#[test_case(60_000, TRUE_PORT, true; "later start, new owner")]
#[test_case(60_000, SILENT_PORT, true; "later start where nobody answers, new owner")]
#[test_case(60_000, OTHER_PORT, true; "later start where another executor is, new owner")]
#[test_case(0, OTHER_PORT, true; "address of another executor, new owner")]
fn an_entry_that_the_executor_does_not_confirm_ends_no_run(later: u64, port: u16, new_owner: bool) {
    let (mut sim, busy) = start_runs(8_000);
    let born = sim.fakes[&busy].born + later;
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    sim.odd_entries.insert(busy, (born, addr));
    if new_owner {
        sim.replace_owner(2);
    }
    sim.run(6_000);
    sim.odd_entries.clear();
    sim.run(4_000);
    assert_eq!(sim.starts.len(), TASKS as usize, "tasks started again");
    assert_eq!(sim.done.len(), TASKS as usize);
    // As much as both executors hold.
    sim.submit(2, "captions", vec![step(32)]);
    sim.run(500);
    let used = sim.starts[TASKS as usize..].iter();
    let used: BTreeSet<&ExecutorId> = used.map(|start| &start.3).collect();
    assert_eq!(used.len(), 2, "an executor gets no work any more");
}

/// Guards against tasks of a restarted executor that wait longer than for the list and one answer.
#[test_case(TRUE_PORT; "at its address")]
#[test_case(3; "at another address")]
fn tasks_of_a_restarted_executor_start_again_as_soon_as_it_answers(port: u16) {
    let (mut sim, busy) = start_runs(3_000);
    let lost = sim.fakes[&busy].runs.len();
    sim.restart_executor(&busy, port);
    sim.run(300);
    assert_eq!(sim.starts.len(), TASKS as usize + lost);
    sim.run(4_000);
    assert_eq!(sim.done.len(), TASKS as usize);
}

/// Guards against tasks that never start again if an executor is listed with a later start but
/// doesn't answer.
#[test_case(TRUE_PORT; "at its address")]
#[test_case(3; "at another address")]
fn tasks_of_a_restarted_executor_that_does_not_answer_start_again_after_their_leases(port: u16) {
    let (mut sim, busy) = start_runs(3_000);
    let lost = sim.fakes[&busy].runs.len();
    sim.restart_executor(&busy, port);
    sim.owner().unreachable.insert(busy);
    sim.run(3_000);
    assert_eq!(sim.starts.len(), TASKS as usize);
    sim.run(4_000);
    assert_eq!(sim.starts.len(), TASKS as usize + lost);
    sim.run(4_000);
    assert_eq!(sim.done.len(), TASKS as usize);
}
