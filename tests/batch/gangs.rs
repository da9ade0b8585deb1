//! Tests that gangs start beside a backlog.

use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use test_case::test_case;

use crate::simulation::Simulation;
use crate::simulation::step;

/// Number of jobs in the backlog; its tasks are short and small, so that their starts use up the
/// limit on unanswered starts all the time.
const BACKLOG: u64 = 600;

/// Returns the number of starts of a gang of `count` tasks in 6 s, on idle hosts of its service or,
/// if `shared`, on those of the backlog. The backlog's queue has this priority, the gang's 1.
fn gang_starts(count: u32, shared: bool, priority: u32) -> usize {
    let mut sim = Simulation::new(&[("captions", 20), ("tags", 10)]);
    let pool = if shared { "captions" } else { "tags" };
    sim.configure(|policy| {
        for queue in &mut policy.queues {
            let backlog = queue.name.as_str() == "captions";
            queue.priority = if backlog { priority } else { 1 };
        }
    });
    sim.start_time =
        |order| 20 + (u64::from(order.task.index) * 7 + order.task.job.draw() % 50) % 60;
    sim.script = Box::new(|_, _| (60, RunOutcome::Done));
    let small = Step {
        demand: Resources {
            cpu: 50,
            memory: 10,
            gpu: 0,
        },
        // Little enough work that its service needs no host of another.
        estimate: 60,
        ..step(100)
    };
    for number in 0..BACKLOG {
        sim.submit(number, "captions", vec![small.clone()]);
    }
    sim.run(300);
    let gang = Step {
        gang: true,
        ..step(count)
    };
    let id = sim.submit(BACKLOG, pool, vec![gang]);
    sim.run(6_000);
    let starts = sim.starts.iter();
    starts.filter(|(_, task, ..)| task.job == id).count()
}

/// Guards against gangs that never start beside idle hosts: starts of others use up the limit on
/// unanswered starts, of which a gang needs a large part at once.
#[test_case(16, false, 0; "of a worse rank")]
#[test_case(40, false, 0; "large, of a worse rank")]
#[test_case(120, false, 0; "larger than the limit, of a worse rank")]
#[test_case(40, false, 2; "large, of a better rank")]
#[test_case(120, false, 2; "larger than the limit, of a better rank")]
#[test_case(40, true, 1; "large, of the same service")]
#[test_case(120, true, 1; "larger than the limit, of the same service")]
fn a_gang_starts_beside_a_backlog(count: u32, shared: bool, priority: u32) {
    let starts = gang_starts(count, shared, priority);
    assert_eq!(starts, count as usize);
}
