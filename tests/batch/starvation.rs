//! Tests that jobs of every size are served while a queue is offered more work than its hosts can
//! do.

use test_case::test_case;

use mimosastep::batch::JobId;
use mimosastep::batch::JobState;
use mimosastep::batch::TaskId;

use crate::simulation::HOST_CPU;
use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::long_running;
use crate::simulation::step;

/// Numbers of tasks of twenty jobs: the largest tenth, the fifth below it, and the rest. A task
/// takes one core for a second.
const TASKS: [u32; 20] = [
    24, 4, 3, 12, 2, 5, 3, 10, 4, 6, 20, 3, 5, 14, 2, 4, 6, 11, 3, 5,
];
/// Objective of a job of one step of one second: twice its duration plus 600 ms.
const OBJECTIVE_MS: u64 = 2_600;
/// Number of times the objective after which an answer is of no use.
const LATE_FACTOR: u64 = 3;
const HOSTS: usize = 6;
const TICK_MS: u64 = 20;

/// A job and the time that it took, in milliseconds.
struct Sample {
    id: JobId,
    tasks: u32,
    accepted: u64,
    took: Option<u64>,
}

/// Jobs submitted to a queue that is short of hosts.
struct Load {
    sim: Simulation,
    samples: Vec<Sample>,
}

impl Load {
    fn new() -> Self {
        Self {
            sim: Simulation::new(&[("captions", HOSTS)]),
            samples: Vec::new(),
        }
    }

    /// Runs for `ms` milliseconds in which `overload` times the work arrives that the hosts can do.
    fn run(&mut self, ms: u64, overload: f64) {
        let offered = f64::from(TASKS.iter().sum::<u32>()) / TASKS.len() as f64;
        let cores = (HOSTS as u64 * HOST_CPU / 1_000) as f64;
        let interval = 1_000.0 * offered / (cores * overload);
        let first = self.samples.len();
        for tick in 0..ms / TICK_MS {
            let due = (tick * TICK_MS) as f64;
            while overload > 0.0 && ((self.samples.len() - first) as f64) * interval <= due {
                self.submit();
            }
            self.sim.run(TICK_MS);
            self.note_ends();
        }
    }

    fn submit(&mut self) {
        let number = self.samples.len() as u64;
        // Each twenty jobs have all sizes, in another order.
        let turn = number as usize / TASKS.len();
        let tasks = TASKS[(number as usize * 7 + turn * 3) % TASKS.len()];
        let id = self.sim.submit(number, "captions", vec![step(tasks)]);
        self.samples.push(Sample {
            id,
            tasks,
            accepted: self.sim.now.unix,
            took: None,
        });
    }

    fn note_ends(&mut self) {
        let now = self.sim.now.unix;
        for sample in &mut self.samples {
            if sample.took.is_none()
                && self.sim.job_state("captions", sample.id) == JobState::Completed
            {
                sample.took = Some(now - sample.accepted);
            }
        }
    }

    /// Number of jobs in a thousand that took at most `limit` milliseconds, by size: the largest
    /// tenth, the fifth below it, and all.
    fn served(&self, limit: u64) -> [usize; 3] {
        let mut samples: Vec<&Sample> = self.samples.iter().collect();
        samples.sort_by_key(|sample| (u32::MAX - sample.tasks, sample.id));
        let tenth = samples.len() / 10;
        let groups = [&samples[..tenth], &samples[tenth..tenth * 3], &samples[..]];
        groups.map(|group| {
            let served = group
                .iter()
                .filter(|sample| sample.took.is_some_and(|took| took <= limit));
            served.count() * 1_000 / group.len()
        })
    }
}

/// Checks that the largest tenth and the fifth below are served at least half as often as all.
fn check_sizes(load: &Load, limit: u64) {
    let [largest, below, all] = load.served(limit);
    assert!(
        largest * 2 >= all && below * 2 >= all,
        "of 1000 jobs within {limit} ms: {largest} of the largest tenth, {below} of the fifth \
         below, {all} overall"
    );
}

/// Guards against starvation of the largest jobs: the least remaining work came first, without a
/// bound on how long a job is passed over.
#[test_case(1.2; "slight")]
#[test_case(2.0; "double")]
#[test_case(4.0; "fourfold")]
fn every_size_is_served_half_as_often_as_all_under_overload(overload: f64) {
    let mut load = Load::new();
    load.run(16_000, overload);
    load.run(OBJECTIVE_MS * LATE_FACTOR, 0.0);
    check_sizes(&load, OBJECTIVE_MS);
    check_sizes(&load, OBJECTIVE_MS * LATE_FACTOR);
}

/// Guards against starvation of the largest jobs in a backlog: of those that were late already, the
/// least remaining work came first.
#[test]
fn every_size_is_served_half_as_often_as_all_in_a_backlog() {
    let mut load = Load::new();
    load.sim.close_dc("dc-a", true);
    load.sim.close_dc("dc-b", true);
    load.run(5_000, 2.0);
    load.sim.close_dc("dc-a", false);
    load.sim.close_dc("dc-b", false);
    load.run(6_000, 0.5);
    load.run(OBJECTIVE_MS * LATE_FACTOR, 0.0);
    check_sizes(&load, OBJECTIVE_MS * LATE_FACTOR);
}

/// Guards against long-running tasks that wait behind jobs that have begun: maintenance waits for
/// these tasks, so hosts came late to their waves. A run takes a second, so each host has capacity
/// within that time.
#[test]
fn long_running_tasks_start_at_once_under_overload() {
    let mut load = Load::new();
    load.run(4_000, 2.0);
    let number = 1_000_000;
    load.sim
        .submit(number, "captions", vec![long_running(HOSTS as u32)]);
    load.run(1_100, 2.0);
    let running = (0..HOSTS as u32).filter(|&index| {
        let task = TaskId {
            job: job_id(number),
            occurrence: 0,
            step: 0,
            index,
        };
        !load.sim.executors_running(&task).is_empty()
    });
    assert_eq!(running.count(), HOSTS, "tasks that run");
}

/// Jobs of a queue, and how many of them were completed in time.
#[derive(Default)]
struct Count {
    waiting: Vec<(JobId, u64)>,
    asked: usize,
    served: usize,
}

/// Guards against starvation of a pool: the pool that lacked most CPU got all hosts there were.
#[test]
fn a_pool_that_lacks_less_gets_hosts_while_another_lacks_more() {
    let mut sim = Simulation::new(&[("captions", 2), ("tags", 2), ("spare", 20)]);
    let mut counts = [Count::default(), Count::default()];
    let mut number = 0;
    for tick in 0..400_u64 {
        sim.run(25);
        // Sixty hosts' worth of work for the one queue, twenty for the other.
        let queues = [("captions", 3), ("tags", 1)];
        for ((queue, jobs), count) in queues.into_iter().zip(&mut counts) {
            count.waiting.retain(|&(id, until)| {
                let done = sim.job_state(queue, id) == JobState::Completed;
                count.served += usize::from(done && sim.now.unix <= until);
                !done
            });
            for _ in 0..if tick % 2 == 0 { jobs * 2 } else { 0 } {
                number += 1;
                let id = sim.submit(number, queue, vec![step(8)]);
                count.waiting.push((id, sim.now.unix + OBJECTIVE_MS));
                count.asked += 1;
            }
        }
    }
    let shares = counts.map(|count| count.served * 1_000 / count.asked);
    assert!(
        shares[1] * 2 >= shares[0] && shares[0] * 2 >= shares[1],
        "of 1000 jobs in time: {} of the one queue, {} of the other",
        shares[0],
        shares[1]
    );
}
