//! Tests of orders for hosts whose answers are lost, and that are repeated.

use std::collections::BTreeSet;

use test_case::test_case;

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;

use crate::simulation::Simulation;
use crate::simulation::step;

/// Guards against executors that never get work again: an order for their host was repeated, as its answer
/// was lost, and the answer to the repeated one was taken for the end of the executor that had come up.
#[test_case(false; "the owner goes on")]
#[test_case(true; "another owner repeats the orders")]
fn executors_that_come_up_after_a_lost_answer_get_work(lost_owner: bool) {
    let mut sim = Simulation::new(&[("captions", 3), ("plaques", 2)]);
    sim.answers_lost = true;
    sim.request_wave(&["captions-0", "captions-1", "captions-2"], 20_000, 3);
    sim.run(1_000);
    assert_eq!(sim.maintained.len(), 3);
    if lost_owner {
        sim.replace_owner(2);
    }
    sim.run(3_000);
    sim.answers_lost = false;
    sim.run(12_000);
    let job = sim.submit(1, "captions", vec![step(30)]);
    sim.run(3_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// Guards against tasks that run twice: the runs on an executor that came up after a lost answer were
/// forgotten when a repeated order was answered.
#[test]
fn runs_on_an_executor_that_came_up_after_a_lost_answer_go_on() {
    let mut sim = Simulation::new(&[("captions", 2), ("plaques", 2)]);
    sim.script = Box::new(|_, _| (6_000, RunOutcome::Done));
    sim.answers_lost = true;
    sim.request_wave(&["captions-0", "captions-1"], 20_000, 2);
    sim.run(2_600);
    let job = sim.submit(1, "captions", vec![step(20)]);
    sim.run(1_000);
    sim.answers_lost = false;
    sim.run(14_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
    let tasks: BTreeSet<_> = sim.starts.iter().map(|start| start.1).collect();
    assert_eq!(sim.starts.len(), tasks.len(), "a task was started twice");
}
