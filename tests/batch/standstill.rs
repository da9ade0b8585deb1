//! Tests that no task stands still beside free capacity.

use std::collections::BTreeSet;

use mimosastep::batch::JobId;
use mimosastep::batch::JobState;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;

use crate::fake_executor::FakeExecutor;
use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::step;

/// Number of the first of the jobs that are in time, beside late ones.
const URGENT: u64 = 5_000;

/// Guards against a task that never starts because only time changes: its executor refused a
/// start, and no event tells that the pause after it is over.
#[test]
fn a_refused_task_starts_once_the_pause_of_its_executor_is_over() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    sim.lists_paused = true;
    let id = sim.fakes.keys().next().expect("no executor").clone();
    let capacity = sim.fakes[&id].capacity;
    let set_capacity = |sim: &mut Simulation, capacity: Resources| {
        sim.fakes.get_mut(&id).expect("no executor").capacity = capacity;
    };
    set_capacity(&mut sim, Resources::default());
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(150);
    set_capacity(&mut sim, capacity);
    sim.run(1_000);
    assert_eq!(sim.starts.len(), 1, "the task was not started");
}

/// Guards against a task that never starts because only time changes: it failed on the only
/// executor, and no event tells that it may start there again.
#[test]
fn a_failed_task_starts_again_on_the_only_executor() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    sim.lists_paused = true;
    sim.script = Box::new(|_, run| {
        let first = run % 1_000_000 < 2;
        (
            100,
            if first {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            },
        )
    });
    let job = sim.submit(1, "captions", vec![step(1)]);
    sim.run(3_000);
    assert_eq!(sim.job_state("captions", job), JobState::Completed);
}

/// Guards against a task that never starts because only time changes: the answer to the last
/// start was late, and no event tells that the executor takes work again.
#[test]
fn a_task_starts_on_an_executor_that_answered_late() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    sim.lists_paused = true;
    sim.script = Box::new(|_, _| (20_000, RunOutcome::Done));
    sim.lost_starts = 1;
    sim.submit(1, "captions", vec![step(1)]);
    sim.run(300);
    sim.submit(2, "captions", vec![step(1)]);
    sim.run(3_000);
    assert_eq!(sim.starts.len(), 2, "the second task was not started");
}

/// Guards against a run that never ends after its job was cancelled: the order to stop it got
/// no answer, and the next report made it count as wanted again.
#[test]
fn a_stop_order_without_an_answer_is_repeated() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    let job = sim.submit(1, "captions", vec![long_running(1)]);
    sim.run(1_000);
    let id = sim.fakes.keys().next().expect("no executor").clone();
    sim.owner().unreachable.insert(id.clone());
    sim.cancel(job);
    sim.run(1_500);
    sim.owner().unreachable.clear();
    sim.run(6_000);
    assert!(sim.fakes[&id].runs.is_empty(), "the run was not stopped");
}

/// Guards against a service that gets no start at all beside its idle hosts: the limit on
/// unanswered starts was used up by the backlog of another service whose jobs ranked first.
#[test]
fn a_backlog_of_one_service_keeps_no_start_from_another() {
    let mut sim = Simulation::new(&[("captions", 20), ("tags", 2)]);
    sim.configure(|policy| {
        for queue in &mut policy.queues {
            queue.priority = u32::from(queue.name.as_str() == "tags");
        }
    });
    sim.script = Box::new(|_, _| (20, RunOutcome::Done));
    // More starts than may be unanswered, at any time.
    let small = Step {
        demand: Resources {
            cpu: 50,
            memory: 10,
            gpu: 0,
        },
        ..step(100)
    };
    for number in 0..600 {
        sim.submit(number, "captions", vec![small.clone()]);
    }
    sim.run(300);
    let late = sim.submit(1_000, "tags", vec![step(4)]);
    sim.run(1_000);
    let first = sim.starts.iter().filter(|start| start.1.job == late);
    assert_eq!(first.count(), 4, "tasks started on idle hosts");
    assert!(sim.done.len() < 60_000, "the backlog was over too soon");
}

/// Guards against late work that stands still while its hosts are kept free for another pool: each
/// still runs a task, so none can leave, and less than half of them is in use.
#[test]
fn late_work_goes_on_while_its_hosts_are_wanted_elsewhere() {
    let mut sim = Simulation::new(&[("captions", 2), ("tags", 8)]);
    sim.script = Box::new(|task, _| {
        let ms = if task.index == 0 { 9_000 } else { 500 };
        (ms, RunOutcome::Done)
    });
    sim.close_dc("dc-a", true);
    sim.close_dc("dc-b", true);
    let late: BTreeSet<JobId> = (0..40)
        .map(|number| sim.submit(number, "tags", vec![step(16)]))
        .collect();
    sim.run(9_000);
    sim.close_dc("dc-a", false);
    sim.close_dc("dc-b", false);
    let mut stands_still = 0;
    for number in 0..100 {
        sim.submit(1_000 + number, "captions", vec![step(16)]);
        sim.run(50);
        let cpu = |fake: &FakeExecutor| (fake.used().cpu, fake.capacity.cpu);
        let (used, total): (Vec<u64>, Vec<u64>) = sim.executors_of("tags").map(cpu).unzip();
        let begun = sim.starts.iter().map(|start| start.1.job);
        let begun: BTreeSet<JobId> = begun.filter(|id| late.contains(id)).collect();
        if used.iter().sum::<u64>() * 2 < total.iter().sum() && begun.len() < late.len() {
            stands_still += 50;
        }
    }
    assert!(stands_still < 3_000, "{stands_still} ms");
}

/// Guards against hosts that are drained in vain: each runs a task for longer than it may be
/// drained, takes new work again, and the pool that lacks hosts gets none of them.
#[test]
fn a_pool_in_need_gets_hosts_that_run_tasks_longer_than_a_drain() {
    let mut sim = Simulation::new(&[("captions", 2), ("tags", 8)]);
    sim.script = Box::new(|task, run| {
        let dice = (task.job.draw() ^ (u64::from(task.index) * 7_919) ^ run) % 100;
        let late = task.job < job_id(URGENT);
        let ms = if late {
            600 + dice * dice * 36 / 100
        } else {
            500
        };
        (ms, RunOutcome::Done)
    });
    let large = Step {
        demand: Resources {
            cpu: 4_000,
            memory: 4_000,
            gpu: 0,
        },
        estimate: 1_700,
        ..step(8)
    };
    for number in 0..300 {
        sim.submit(number, "tags", vec![large.clone()]);
    }
    sim.run(16_000);
    for number in 0..60 {
        sim.submit(URGENT + 2 * number, "captions", vec![step(12)]);
        sim.submit(URGENT + 2 * number + 1, "captions", vec![step(12)]);
        sim.run(100);
    }
    let hosts = sim.executors_of("captions").count();
    // No task runs for more than 4.2 s, and a host that moves is away for 1.5 s.
    assert_eq!(hosts, 8, "after 6 s");
}
