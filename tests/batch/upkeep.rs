//! Waves of upkeep.

use mimosastep::batch::RunOutcome;
use mimosastep::batch::WaveState;
use test_case::test_case;

use crate::world::World;
use crate::world::long_running;
use crate::world::step;

#[test]
fn a_wave_is_done_in_time_and_told() {
    let mut world = World::new(&[("captions", 4)]);
    world.ask_wave(&["captions-0", "captions-1", "captions-2"], 12_000, 1);
    world.run(12_000);
    assert_eq!(world.downs.len(), 3);
    assert_eq!(world.told[&1], WaveState::Completed);
}

/// The pattern: a steady stream of short tasks over a pool while half of its hosts are due.
#[test]
fn a_wave_is_done_under_load_without_ending_tasks() {
    let mut world = World::new(&[("captions", 4)]);
    world.ask_wave(&["captions-0", "captions-1"], 20_000, 1);
    for number in 0..100 {
        world.submit(number, "captions", vec![step(4)]);
        world.run(200);
    }
    assert_eq!(world.told[&1], WaveState::Completed);
    world.run(2_000);
    assert_eq!(world.done.len(), 400);
}

#[test]
fn a_task_that_lasts_stays_where_no_other_host_would_take_it() {
    let mut world = World::new(&[("captions", 2)]);
    world.submit(1, "captions", vec![long_running(2)]);
    world.run(500);
    world.ask_wave(&["captions-0"], 10_000, 1);
    world.run(5_000);
    assert_eq!(world.starts.len(), 2, "no task was interrupted for nothing");
}

/// The pattern: a pool that has shrunk to just the hosts over which a lasting step is spread.
#[test]
fn a_spare_host_comes_to_take_what_a_due_host_runs() {
    let mut world = World::new(&[("captions", 3), ("spare", 1)]);
    world.submit(1, "captions", vec![long_running(3)]);
    world.run(500);
    world.ask_wave(&["captions-0"], 15_000, 1);
    world.run(15_000);
    assert_eq!(world.told[&1], WaveState::Completed);
    let running: usize = world.fakes.values().map(|fake| fake.works.len()).sum();
    assert_eq!(running, 3);
}

/// The pattern: owners change in the middle of a wave, while hosts are busy or down.
#[test]
fn a_new_owner_takes_no_host_down_before_it_knows_what_runs_there() {
    let mut world = World::new(&[("captions", 6)]);
    for number in 0..6 {
        world.submit(number, "captions", vec![long_running(5)]);
    }
    world.run(1_000);
    world.ask_wave(&["captions-0", "captions-1", "captions-2"], 20_000, 1);
    for fence in 2..8 {
        world.take_over(fence);
        world.run(700);
        assert!(world.down() <= 1, "{} hosts down", world.down());
    }
    world.run(15_000);
    assert_eq!(world.told[&1], WaveState::Completed);
}

/// The pattern: an owner stops a task that lasts and is killed; for as long as the stop takes,
/// the executor lists the task as at work.
#[test]
fn a_new_owner_interrupts_nothing_while_stops_of_the_last_one_take_effect() {
    let mut world = World::new(&[("captions", 6)]);
    let job = world.submit(1, "captions", vec![long_running(5)]);
    world.run(1_000);
    world.ask_wave(&["captions-4"], 30_000, 1);
    world.run(30);
    world.ask_wave(&["captions-0"], 30_000, 1);
    world.take_over(2);
    for _ in 0..400 {
        world.run(5);
        let now = world.now.at;
        let works = world.fakes.values().flat_map(|fake| fake.works.values());
        let at_work = works.filter(|work| work.percent(now) == 100).count();
        assert!(at_work >= 4, "{at_work} of 5 tasks of {job} are at work");
    }
}

#[test]
fn a_wave_is_done_though_a_host_of_it_is_gone_for_good() {
    let mut world = World::new(&[("captions", 3)]);
    world.ask_wave(&["captions-0", "captions-9"], 10_000, 1);
    world.run(10_000);
    assert_eq!(world.told[&1], WaveState::Completed);
}

/// The pattern: a rack is dark, and its leases are not over yet.
#[test]
fn nothing_is_interrupted_while_another_task_of_its_step_is_on_a_silent_executor() {
    let mut world = World::new(&[("captions", 6)]);
    world.submit(1, "captions", vec![long_running(5)]);
    world.run(2_000);
    let dark = world.starts[4].3.clone();
    world.leader().cut.insert(dark);
    world.run(3_000);
    world.ask_wave(&["captions-0"], 30_000, 1);
    world.run(500);
    let stopped = world.fakes.values().flat_map(|fake| fake.works.values());
    assert_eq!(stopped.filter(|work| work.ends.is_some()).count(), 0);
}

/// The pattern: an owner that is cut off from the store, or about to lose its term, takes hosts
/// down that the next owner knows nothing of, and at most so many may be down at once.
#[test]
fn no_host_is_taken_down_before_the_log_says_so() {
    let mut world = World::new(&[("captions", 4)]);
    world.leader().dark = true;
    world.ask_wave(&["captions-0", "captions-1"], 20_000, 2);
    world.run(1_000);
    assert_eq!(world.downs.len(), 0);
    world.light();
    world.run(8_000);
    assert_eq!(world.told[&1], WaveState::Completed);
}

/// The pattern: the store is away for seconds, and the owner comes back to old permissions.
#[test]
fn a_host_is_not_taken_down_on_a_record_that_took_too_long() {
    let mut world = World::new(&[("captions", 4)]);
    world.leader().dark = true;
    world.ask_wave(&["captions-0"], 20_000, 1);
    world.run(2_000);
    world.light();
    world.run(100);
    assert_eq!(world.downs.len(), 0);
    world.run(8_000);
    assert_eq!(world.told[&1], WaveState::Completed);
}

/// The pattern: the machine is suspended for seconds while the record is on its way. The steady
/// clock does not count that time, the time of day does.
#[test]
fn a_host_is_not_taken_down_after_a_suspension() {
    let mut world = World::new(&[("captions", 4)]);
    world.leader().dark = true;
    world.ask_wave(&["captions-0"], 30_000, 1);
    world.run(200);
    world.now.unix += 5_000;
    world.light();
    world.run(100);
    assert_eq!(world.downs.len(), 0);
    world.run(8_000);
    assert_eq!(world.told[&1], WaveState::Completed);
}

/// The pattern: a peak while half of the hosts may be down at once.
#[test]
fn empty_hosts_work_on_while_others_are_down() {
    let mut world = World::new(&[("captions", 4)]);
    let hosts = ["captions-0", "captions-1", "captions-2", "captions-3"];
    world.ask_wave(&hosts, 30_000, 2);
    world.run(300);
    assert_eq!(world.downs.len(), 2);
    world.submit(1, "captions", vec![step(32)]);
    world.run(500);
    assert_eq!(world.starts.len(), 32);
}

/// The pattern: an owner gives an order for a host as late as it may and is killed; the next one
/// must leave the host alone for the time of the lease, counted from the order.
#[test]
fn a_new_owner_leaves_a_host_alone_whose_order_was_given_late() {
    let mut world = World::new(&[("captions", 4)]);
    world.leader().dark = true;
    world.ask_wave(&["captions-0"], 30_000, 1);
    world.run(1_200);
    world.light();
    while world.downs.is_empty() {
        world.run(5);
    }
    world.take_over(2);
    world.run(3_000);
    assert_eq!(world.downs.len(), 1);
    world.run(8_000);
    assert_eq!(world.told[&1], WaveState::Completed);
}

/// The fault: the time that operators give for a wave begins anew with each owner, so hosts that
/// are never empty are taken down late.
#[test_case(false; "one owner")]
#[test_case(true; "two owners")]
fn a_wave_is_done_in_time_though_hosts_are_never_empty(change: bool) {
    let mut world = World::new(&[("captions", 2), ("spare", 1)]);
    world.script = Box::new(|_, _| (60_000, RunOutcome::Done));
    world.submit(1, "captions", vec![step(32)]);
    world.run(500);
    world.ask_wave(&["captions-0"], 12_000, 1);
    world.run(6_000);
    if change {
        world.take_over(2);
    }
    world.run(6_000);
    assert_eq!(world.downs.len(), 1);
}

/// The fault: an order to stop a task gets no answer; the run is listed until it ends, so the owner
/// takes it for at work and stops another one of its step.
#[test]
fn no_task_is_interrupted_while_a_stop_of_its_step_may_take_effect() {
    let mut world = World::new(&[("captions", 10)]);
    world.submit(1, "captions", vec![long_running(6)]);
    world.run(3_000);
    world.lost_stops = 20;
    let hosts: Vec<String> = (0..5).map(|number| format!("captions-{number}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    world.ask_wave(&hosts, 30_000, 5);
    for _ in 0..4_000 {
        world.run(5);
        let running = world.fakes.values().map(|fake| fake.works.len());
        let running: usize = running.sum();
        assert!(running >= 5, "{running} of 6 tasks run, one may be away");
    }
}
