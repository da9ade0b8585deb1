//! Tests of superseded owners that keep running.

use mimosastep::batch::JobState;
use mimosastep::batch::Record;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::ExecutorId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

use crate::simulation::OwnerFault;
use crate::simulation::Simulation;
use crate::simulation::long_running;
use crate::simulation::step;

/// Number of seeds in every test run.
const SEEDS: u64 = 60;
/// Number of rounds per seed.
const ROUNDS: usize = 60;

/// A step that starts after the first step of its job.
fn dependent_step(count: u32) -> Step {
    Step {
        after: vec![0],
        ..step(count)
    }
}

/// One to three steps, each of which waits for the previous one.
fn random_chain(rng: &mut StdRng) -> Vec<Step> {
    let length = rng.random_range(1..=3);
    let steps = (0..length).map(|number: u32| Step {
        after: number.checked_sub(1).into_iter().collect(),
        ..step(rng.random_range(1..=16))
    });
    steps.collect()
}

/// Random executors; each is chosen with probability `share`.
fn random_executors(sim: &Simulation, rng: &mut StdRng, share: f64) -> Vec<ExecutorId> {
    let ids = sim.fakes.keys();
    ids.filter(|_| rng.random_bool(share)).cloned().collect()
}

fn random_fault(rng: &mut StdRng) -> OwnerFault {
    match rng.random_range(0..4) {
        0 => OwnerFault::Unnotified,
        1 => OwnerFault::Paused(rng.random_range(50..2_000)),
        _ => OwnerFault::CutOff,
    }
}

/// Number of jobs with dependent steps in [`site_of_first_steps`].
const JOBS: u64 = 4;
/// Number of tasks in [`site_of_first_steps`] that complete.
const TASKS: usize = 4 * 20 + 16;

/// A site of twenty hosts. A few of them run first steps that end soon; the steps that wait for
/// these spread over nearly all hosts.
fn site_of_first_steps() -> Simulation {
    let mut sim = Simulation::new(&[("captions", 20)]);
    sim.submit(JOBS + 1, "captions", vec![step(16)]);
    let wide = Step {
        spread: Some(1),
        ..dependent_step(16)
    };
    for number in 1..=JOBS {
        // A job with a long-running task may run on all partitions.
        sim.submit(
            number,
            "captions",
            vec![step(4), wide.clone(), long_running(1)],
        );
    }
    sim.run(900);
    // With one executor unreachable, the two owners would place the next steps differently.
    let unreachable = sim.starts[0].3.clone();
    sim.owner().unreachable.insert(unreachable);
    sim
}

/// Makes all idle executors unreachable for the elected owner.
fn isolate_idle(sim: &mut Simulation) {
    let idle = sim.fakes.iter().filter(|(_, fake)| fake.runs.is_empty());
    let idle = idle.map(|(id, _)| id.clone()).collect();
    sim.owner().unreachable = idle;
}

/// Guards against steps that start twice: a new owner sees a task running and concludes that the
/// next step has not started. The earlier owner sees the same task end, and starts the next step on
/// executors that the new owner has not reached.
#[test_case(OwnerFault::CutOff; "the earlier owner is cut off from the store")]
#[test_case(OwnerFault::Unnotified; "the earlier owner is not told yet")]
#[test_case(OwnerFault::Paused(200); "the earlier owner is paused")]
fn a_step_is_begun_once_though_two_owners_see_what_it_waits_for_end(fault: OwnerFault) {
    let mut sim = site_of_first_steps();
    sim.supersede_owner(2, fault);
    isolate_idle(&mut sim);
    sim.run(800);
    sim.owner().unreachable.clear();
    sim.run(9_000);
    assert_eq!(sim.done.len(), TASKS);
}

/// The same fault with two earlier owners.
#[test]
fn a_step_is_begun_once_though_three_owners_see_what_it_waits_for_end() {
    let mut sim = site_of_first_steps();
    sim.supersede_owner(2, OwnerFault::CutOff);
    isolate_idle(&mut sim);
    sim.run(60);
    sim.supersede_owner(3, OwnerFault::Unnotified);
    sim.run(800);
    sim.owner().unreachable.clear();
    sim.run(9_000);
    assert_eq!(sim.done.len(), TASKS);
}

/// Guards against tasks that run twice: an earlier owner without the store renews its leases on an
/// executor that the next owner doesn't reach. The next owner takes the leases for expired and
/// starts the tasks elsewhere.
#[test]
fn tasks_that_an_earlier_owner_keeps_running_are_not_started_elsewhere() {
    let mut sim = Simulation::new(&[("captions", 4)]);
    sim.script = Box::new(|_, _| (12_000, RunOutcome::Done));
    sim.submit(1, "captions", vec![step(40)]);
    sim.run(500);
    let isolated = sim.starts[0].3.clone();
    sim.supersede_owner(2, OwnerFault::CutOff);
    // The earlier owner reaches no other executor, so it does not learn that it is fenced.
    let others = sim.fakes.keys().filter(|id| **id != isolated);
    let others: Vec<ExecutorId> = others.cloned().collect();
    sim.owners[0].unreachable.extend(others);
    sim.owner().unreachable.insert(isolated);
    sim.run(20_000);
    sim.owner().unreachable.clear();
    sim.run(20_000);
    assert_eq!(sim.done.len(), 40);
}

/// Guards against moves of busy hosts: an owner without the store moves a host without a record,
/// while the next owner has started tasks there.
#[test]
fn no_host_is_moved_before_the_log_says_so() {
    let mut sim = Simulation::new(&[("captions", 8), ("spare", 1)]);
    sim.submit(1, "captions", vec![step(40)]);
    sim.run(300);
    sim.owner().store_down = true;
    let moves = sim.moves;
    sim.run(4_000);
    assert_eq!(sim.done.len(), 40);
    assert_eq!(
        sim.moves, moves,
        "a host was moved without a record in the log"
    );
    sim.restore_store();
    sim.run(2_000);
    assert!(sim.moves > moves, "no idle host moved to the spare pool");
}

/// Guards against moves of busy hosts: an owner is paused between the record of a move and its
/// order. When the order arrives, the next owner has started tasks on the host.
#[test]
fn a_host_with_an_order_on_its_way_gets_no_work_of_the_next_owner() {
    let mut sim = Simulation::new(&[("captions", 8), ("spare", 1)]);
    sim.submit(1, "captions", vec![step(100)]);
    while sim.done.len() < 100 {
        sim.run(5);
    }
    let host_orders = |sim: &Simulation| {
        let records = sim.records.iter();
        records
            .filter(|record| matches!(record, Record::HostOrdered { .. }))
            .count()
    };
    let before = host_orders(&sim);
    while host_orders(&sim) == before {
        sim.run(5);
    }
    sim.supersede_owner(2, OwnerFault::Paused(300));
    sim.submit(2, "captions", vec![step(200)]);
    sim.run(6_000);
    assert_eq!(sim.done.len(), 300);
}

/// Runs a random sequence of jobs and elections; returns the fence of the last owner.
fn run_seed(seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sim = Simulation::new(&[("captions", 14), ("tags", 6)]);
    let mut durations = StdRng::seed_from_u64(seed + 1);
    let base = durations.random_range(200..1_500);
    sim.script = Box::new(move |task, _| {
        let spread = u64::from(task.index * 37 + task.step * 101) % 400;
        (base + spread, RunOutcome::Done)
    });
    let mut jobs = Vec::new();
    let mut fence = 1;
    // Probability per round that the elected owner reaches all executors again.
    let mut heal_probability = 0.3;
    for _ in 0..ROUNDS {
        for _ in 0..rng.random_range(0..4) {
            let pool = if rng.random_bool(0.7) {
                "captions"
            } else {
                "tags"
            };
            let number = jobs.len() as u64;
            jobs.push((pool, sim.submit(number, pool, random_chain(&mut rng))));
        }
        sim.run(rng.random_range(20..400));
        if rng.random_bool(0.2) {
            let fault = random_fault(&mut rng);
            fence += 1;
            sim.supersede_owner(fence, fault);
            let silent = random_executors(&sim, &mut rng, 0.4);
            sim.owner().unreachable = silent.into_iter().collect();
            heal_probability = if rng.random_bool(0.3) { 0.01 } else { 0.3 };
        }
        if rng.random_bool(heal_probability) {
            sim.owner().unreachable.clear();
        }
        if rng.random_bool(0.1) {
            sim.lost_starts += rng.random_range(1..6);
        }
    }
    sim.owner().unreachable.clear();
    sim.run(25_000);
    assert!(
        !sim.has_stepped_down(),
        "seed {seed}: the last owner stepped down without a successor"
    );
    for (pool, job) in jobs {
        assert_eq!(
            sim.job_state(pool, job),
            JobState::Completed,
            "seed {seed}: job {job}"
        );
    }
    fence
}

/// Superseded owners keep running without the store, after a pause or without knowing of their
/// successor, which does not reach all executors at first.
#[test]
fn no_task_runs_twice_however_owners_change() {
    let changes: u64 = (0..SEEDS).map(run_seed).sum();
    assert!(changes > SEEDS * 4, "only {changes} elections");
}

/// The same with other seeds, by default 60..65: `SEEDS=1000..1400 cargo test --test batch fresh`.
#[test]
fn no_task_runs_twice_with_fresh_seeds() {
    let seeds = std::env::var("SEEDS").unwrap_or_else(|_| "60..65".to_owned());
    let (from, to) = seeds.split_once("..").expect("SEEDS: expected FROM..TO");
    let from: u64 = from.parse().expect("SEEDS: bounds must be numbers");
    let to: u64 = to.parse().expect("SEEDS: bounds must be numbers");
    let mut failed = Vec::new();
    for seed in from..to {
        if std::panic::catch_unwind(|| run_seed(seed)).is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
