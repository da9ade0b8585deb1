//! Tests that a step gets to the executors that the advice service permits, however few and wherever
//! they are.

use std::collections::BTreeSet;

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::ExecutorId;

use crate::simulation::HOST_CPU;
use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::step;

/// Hosts of the service: more than one request to the advice service asks about.
const HOSTS: usize = 62;

/// A site where no step runs without the advice service's permission.
fn site() -> Simulation {
    let mut sim = Simulation::new(&[("captions", HOSTS)]);
    sim.require_advice("captions");
    sim
}

/// The last `count` executors by id.
fn last_executors(sim: &Simulation, count: usize) -> BTreeSet<ExecutorId> {
    sim.fakes.keys().rev().take(count).cloned().collect()
}

/// A step whose tasks take a whole host each.
fn wide_step(count: u32) -> Step {
    let mut step = step(count);
    step.demand.cpu = HOST_CPU;
    step
}

/// Guards against a job that is never started: the advice service was asked about the same 30 of 62
/// executors each time, and the step may run on none of these.
#[test]
fn a_step_that_few_executors_may_run_does_not_wait_for_ever() {
    let mut sim = site();
    let permitted = last_executors(&sim, 2);
    sim.permits = Box::new(move |_, id| permitted.contains(id));
    let job = sim.submit(1, "captions", vec![step(2)]);
    sim.run(2_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// Guards against tasks that wait although executors are free that may run them: the permission for
/// others, which are full or have a task of the step, kept the owner from asking about these.
#[test]
fn tasks_that_do_not_fit_on_the_executors_found_first_go_to_others() {
    let mut sim = site();
    let first = sim.fakes.keys().next().expect("no executors").clone();
    let mut permitted = last_executors(&sim, 4);
    permitted.insert(first);
    sim.permits = Box::new(move |_, id| permitted.contains(id));
    sim.submit(1, "captions", vec![long_running(5)]);
    sim.run(2_000);
    assert_eq!(sim.starts.len(), 5);
}

/// Guards against a permission that is lost when its ticket expires while its executor is full.
#[test]
fn a_step_whose_executors_are_full_starts_once_they_have_room() {
    let mut sim = site();
    sim.script = Box::new(|task, _| {
        let ms = if task.job == job_id(1) { 5_000 } else { 500 };
        (ms, RunOutcome::Done)
    });
    let permitted = last_executors(&sim, 2);
    sim.permits = Box::new(move |_, id| permitted.contains(id));
    sim.submit(1, "captions", vec![wide_step(2)]);
    sim.run(1_000);
    assert_eq!(sim.starts.len(), 2);
    let job = sim.submit(2, "captions", vec![wide_step(2)]);
    sim.run(5_500);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// Guards against an executor that is never asked about because it came after all others were.
#[test]
fn an_executor_that_comes_later_is_asked_about() {
    let mut sim = site();
    let known: BTreeSet<ExecutorId> = sim.fakes.keys().cloned().collect();
    sim.permits = Box::new(move |_, id| !known.contains(id));
    let job = sim.submit(1, "captions", vec![step(1)]);
    sim.run(3_000);
    assert_eq!(sim.starts.len(), 0);
    sim.request_wave(&["captions-9"], 4_000, 1);
    sim.run(8_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// Guards against jobs whose questions are never sent because others, which no executor may run, ask
/// again and again.
#[test]
fn steps_that_may_run_nowhere_do_not_keep_others_from_being_asked_about() {
    let mut sim = site();
    let permitted = last_executors(&sim, 1);
    sim.permits = Box::new(move |step, id| step.job == job_id(99) && permitted.contains(id));
    for number in 0..60 {
        sim.submit(number, "captions", vec![step(1)]);
    }
    sim.run(200);
    let job = sim.submit(99, "captions", vec![step(1)]);
    sim.run(5_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
    let asked = sim.consultations;
    sim.run(5_000);
    assert_eq!(sim.consultations, asked, "the answers don't change");
}

/// Guards against questions that are given up, or sent without a pause, while the advice service is
/// down.
#[test]
fn questions_are_repeated_until_the_advice_service_answers() {
    let mut sim = site();
    sim.advice_down = true;
    for number in 0..20 {
        sim.submit(number, "captions", vec![step(1)]);
    }
    sim.run(4_000);
    assert!(
        sim.consultations < 20 * 10,
        "{} requests",
        sim.consultations
    );
    sim.advice_down = false;
    sim.run(4_000);
    assert_eq!(sim.done.len(), 20);
}

/// Guards against a ticket of an executor's earlier life.
#[test]
fn an_executor_that_has_restarted_is_asked_about_again() {
    let mut sim = site();
    let permitted = last_executors(&sim, 1);
    let executor = permitted.first().expect("no executors").clone();
    sim.permits = Box::new(move |_, id| permitted.contains(id));
    sim.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(500);
    assert_eq!(sim.starts.len(), 1);
    let asked = sim.consultations;
    sim.restart_executor(&executor, 1);
    sim.run(10_000);
    assert_eq!(sim.starts.len(), 2);
    assert!(sim.consultations > asked);
}

/// Guards against starts that are refused again and again: the queue of a job was removed, and with it
/// the word that its steps need advice.
#[test]
fn a_job_whose_queue_was_removed_still_gets_its_tickets() {
    let mut sim = site();
    sim.needs_ticket = true;
    sim.script = Box::new(|_, _| (2_000, RunOutcome::Done));
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    sim.submit(1, "captions", vec![step(1), second]);
    sim.run(500);
    sim.configure(|policy| policy.queues.clear());
    sim.run(5_000);
    assert_eq!(sim.done.len(), 2);
}
