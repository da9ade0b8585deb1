//! Tests of maintenance waves.

use std::time::Instant;

use mimosastep::batch::RunOutcome;
use mimosastep::batch::TaskId;
use mimosastep::batch::WaveState;
use mimosastep::name::ExecutorId;
use test_case::test_case;

use crate::simulation::Simulation;
use crate::simulation::long_running;
use crate::simulation::step;

#[test]
fn a_wave_is_done_in_time_and_told() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.request_wave(&["captions-0", "captions-1", "captions-2"], 12_000, 1);
    sim.run(12_000);
    assert_eq!(sim.maintained.len(), 3);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
}

/// Short tasks keep arriving at a pool while half of its hosts are due for maintenance.
#[test]
fn a_wave_is_done_under_load_without_ending_tasks() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.request_wave(&["captions-0", "captions-1"], 20_000, 1);
    for number in 0..100 {
        sim.submit(number, "captions", vec![step(4)]);
        sim.run(200);
    }
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
    sim.run(2_000);
    assert_eq!(sim.done.len(), 400);
}

#[test]
fn a_task_that_lasts_stays_where_no_other_host_would_take_it() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.submit(1, "captions", vec![long_running(2)]);
    sim.run(500);
    sim.request_wave(&["captions-0"], 10_000, 1);
    sim.run(5_000);
    assert_eq!(
        sim.starts.len(),
        2,
        "a task was interrupted although no host can take it"
    );
}

/// A pool has shrunk to just the hosts over which a long-running step is spread.
#[test]
fn a_spare_host_comes_to_take_what_a_due_host_runs() {
    let mut sim = Simulation::new(&[("captions", 3), ("spare", 1)]);
    sim.submit(1, "captions", vec![long_running(3)]);
    sim.run(500);
    sim.request_wave(&["captions-0"], 15_000, 1);
    sim.run(15_000);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
    let running: usize = sim.fakes.values().map(|fake| fake.runs.len()).sum();
    assert_eq!(running, 3);
}

/// Owners change during a wave, while hosts are busy or down.
#[test]
fn a_new_owner_takes_no_host_down_before_it_knows_what_runs_there() {
    let mut sim = Simulation::new(&[("captions", 6)]);
    for number in 0..6 {
        sim.submit(number, "captions", vec![long_running(5)]);
    }
    sim.run(1_000);
    sim.request_wave(&["captions-0", "captions-1", "captions-2"], 20_000, 1);
    for fence in 2..8 {
        sim.replace_owner(fence);
        sim.run(700);
        assert!(sim.count_away() <= 1, "{} hosts down", sim.count_away());
    }
    sim.run(15_000);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
}

/// An owner stops a long-running task and is killed. Until the stop takes effect, the executor
/// reports the task as running.
#[test]
fn a_new_owner_interrupts_nothing_while_stops_of_the_last_one_take_effect() {
    let mut sim = Simulation::new(&[("captions", 6)]);
    let job = sim.submit(1, "captions", vec![long_running(5)]);
    sim.run(1_000);
    sim.request_wave(&["captions-4"], 30_000, 1);
    sim.run(30);
    sim.request_wave(&["captions-0"], 30_000, 1);
    sim.replace_owner(2);
    for _ in 0..400 {
        sim.run(5);
        let now = sim.now.at;
        let runs = sim.fakes.values().flat_map(|fake| fake.runs.values());
        let running = runs.filter(|fake_run| fake_run.percent(now) == 100).count();
        assert!(
            running >= 4,
            "only {running} of 5 tasks of job {job} are running"
        );
    }
}

#[test]
fn a_wave_is_done_though_a_host_of_it_is_gone_for_good() {
    let mut sim = Simulation::new(&[("captions", 3)]);
    sim.request_wave(&["captions-0", "captions-9"], 10_000, 1);
    sim.run(10_000);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
}

/// An executor does not answer, and its lease has not expired yet.
#[test]
fn nothing_is_interrupted_while_another_task_of_its_step_is_on_a_silent_executor() {
    let mut sim = Simulation::new(&[("captions", 6)]);
    sim.submit(1, "captions", vec![long_running(5)]);
    sim.run(2_000);
    let silent = sim.starts[4].3.clone();
    sim.owner().unreachable.insert(silent);
    sim.run(3_000);
    sim.request_wave(&["captions-0"], 30_000, 1);
    sim.run(500);
    let runs = sim.fakes.values().flat_map(|fake| fake.runs.values());
    assert_eq!(
        runs.filter(|fake_run| fake_run.planned_end.is_some())
            .count(),
        0
    );
}

/// An owner without the store, or about to lose its term, could take down hosts that the next owner
/// does not know of. That owner could then exceed the limit on hosts that are down at once.
#[test]
fn no_host_is_taken_down_before_the_log_says_so() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.owner().store_down = true;
    sim.request_wave(&["captions-0", "captions-1"], 20_000, 2);
    sim.run(1_000);
    assert_eq!(sim.maintained.len(), 0);
    sim.restore_store();
    sim.run(8_000);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
}

/// The store is unreachable for seconds. Once it is back, the record of a host order is too old for
/// the order to be given.
#[test]
fn a_host_is_not_taken_down_on_a_record_that_took_too_long() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.owner().store_down = true;
    sim.request_wave(&["captions-0"], 20_000, 1);
    sim.run(2_000);
    sim.restore_store();
    sim.run(100);
    assert_eq!(sim.maintained.len(), 0);
    sim.run(8_000);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
}

/// The machine is suspended for seconds while the record of a host order is in flight. The steady
/// clock does not advance in that time, but the time of day does.
#[test]
fn a_host_is_not_taken_down_after_a_suspension() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.owner().store_down = true;
    sim.request_wave(&["captions-0"], 30_000, 1);
    sim.run(200);
    sim.now.unix += 5_000;
    sim.restore_store();
    sim.run(100);
    assert_eq!(sim.maintained.len(), 0);
    sim.run(8_000);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
}

/// Demand peaks while half of the hosts may be down at once.
#[test]
fn empty_hosts_work_on_while_others_are_down() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    let hosts = ["captions-0", "captions-1", "captions-2", "captions-3"];
    sim.request_wave(&hosts, 30_000, 2);
    sim.run(300);
    assert_eq!(sim.maintained.len(), 2);
    sim.submit(1, "captions", vec![step(32)]);
    sim.run(500);
    assert_eq!(sim.starts.len(), 32);
}

/// An owner gives a host order as late as it may and is killed. The next owner must leave the host
/// alone for the duration of the lease, counted from the order.
#[test]
fn a_new_owner_leaves_a_host_alone_whose_order_was_given_late() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.owner().store_down = true;
    sim.request_wave(&["captions-0"], 30_000, 1);
    sim.run(1_200);
    sim.restore_store();
    while sim.maintained.is_empty() {
        sim.run(5);
    }
    sim.replace_owner(2);
    sim.run(3_000);
    assert_eq!(sim.maintained.len(), 1);
    sim.run(8_000);
    assert_eq!(sim.wave_states[&1], WaveState::Completed);
}

/// Guards against late waves: if the period of a wave starts again with each owner, hosts that are
/// never empty are taken down after its end.
#[test_case(false; "one owner")]
#[test_case(true; "two owners")]
fn a_wave_is_done_in_time_though_hosts_are_never_empty(change: bool) {
    let mut sim = Simulation::new(&[("captions", 2), ("spare", 1)]);
    sim.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(32)]);
    sim.run(500);
    sim.request_wave(&["captions-0"], 12_000, 1);
    sim.run(6_000);
    if change {
        sim.replace_owner(2);
    }
    sim.run(6_000);
    assert_eq!(sim.maintained.len(), 1);
}

/// Guards against a second interruption: a stop order is not answered and the run is reported until
/// it ends. The owner takes it for running and stops another task of the step.
#[test]
fn no_task_is_interrupted_while_a_stop_of_its_step_may_take_effect() {
    let mut sim = Simulation::new(&[("captions", 10)]);
    sim.submit(1, "captions", vec![long_running(6)]);
    sim.run(3_000);
    sim.lost_stops = 20;
    let hosts: Vec<String> = (0..5).map(|number| format!("captions-{number}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    sim.request_wave(&hosts, 30_000, 5);
    for _ in 0..4_000 {
        sim.run(5);
        let running = sim.fakes.values().map(|fake| fake.runs.len());
        let running: usize = running.sum();
        assert!(
            running >= 5,
            "{running} of 6 tasks run, at most one may be interrupted"
        );
    }
}

/// Guards against late waves: the tasks of one long-running step leave their hosts one by one. If
/// they stay as long as other work keeps the hosts busy, the last hosts are taken down after the
/// end of the wave.
#[test]
fn a_wave_is_done_in_time_though_tasks_leave_its_hosts_one_by_one() {
    let mut sim = Simulation::new(&[("captions", 24)]);
    sim.script = Box::new(|_, _| (3_000, RunOutcome::Done));
    sim.submit(0, "captions", vec![long_running(12)]);
    sim.run(2_000);
    let hosts: Vec<String> = sim.starts.iter().map(host_of).collect();
    let hosts: Vec<&str> = hosts.iter().take(10).map(String::as_str).collect();
    for number in 1..=75 {
        sim.submit(number, "captions", vec![step(24)]);
        sim.run(400);
        if number == 10 {
            sim.request_wave(&hosts, 26_000, 10);
        }
    }
    assert_eq!(sim.maintained.len(), 10);
}

/// Guards against late waves: a task that makes way for maintenance moves to a host that is due
/// itself, and has to move once more.
#[test]
fn a_task_that_makes_way_goes_to_no_host_that_is_due() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.script = Box::new(|task, _| {
        let duration = if task.index < 8 { 1_000 } else { 60_000 };
        (duration, RunOutcome::Done)
    });
    sim.submit(1, "captions", vec![step(16)]);
    sim.run(500);
    sim.submit(2, "captions", vec![long_running(1)]);
    sim.run(2_000);
    let busy = host_of(&sim.starts[0]);
    let left = host_of(&sim.starts[16]);
    sim.request_wave(&[&busy, &left], 60_000, 1);
    sim.run(6_000);
    let hosts: Vec<String> = sim.starts.iter().skip(16).map(host_of).collect();
    assert_eq!(hosts.len(), 2, "started on {hosts:?}");
    assert_ne!(hosts[1], busy, "the task moved to a host that is due");
}

/// Host of the executor on which a task was started.
fn host_of(start: &(Instant, TaskId, u64, ExecutorId)) -> String {
    let (_, _, _, executor) = start;
    let host = executor.as_str().split('.').next();
    host.expect("an executor without a host").to_owned()
}
