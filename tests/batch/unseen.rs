//! Tests of what teams are charged for that may run on executors whose runs the owner doesn't know.

use mimosastep::batch::JobId;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::ExecutorId;
use mimosastep::unseen::UnknownCapacity;
use mimosastep::unseen::UnseenDemand;
use mimosastep::unseen::UnseenUsage;
use test_case::test_case;

use crate::simulation::HOST_CPU;
use crate::simulation::Simulation;
use crate::simulation::service;
use crate::simulation::step;
use crate::simulation::team;

/// Number of hosts of the pool.
const HOSTS: usize = 12;
/// Limit on the CPU that the team runs, in millicores.
const TEAM_CPU: u64 = HOST_CPU * 10;

/// CPU that all tasks that run need together, in millicores.
fn cpu_in_use(sim: &Simulation) -> u64 {
    let fakes = sim.fakes.values().filter(|fake| !fake.down);
    let tasks: usize = fakes.map(|fake| fake.runs.len()).sum();
    tasks as u64 * step(1).demand.cpu
}

/// What becomes of executors that are no longer listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// They are gone with all that ran there.
    Gone,
    /// They are cut off, and their tasks run on until their leases expire.
    CutOff,
}

/// Takes executors that run tasks out of the list.
fn lose_executors(sim: &mut Simulation, count: usize, loss: Loss) {
    let busy = sim.fakes.iter().filter(|(_, fake)| !fake.runs.is_empty());
    let ids: Vec<ExecutorId> = busy.map(|(id, _)| id.clone()).take(count).collect();
    for id in ids {
        let fake = sim.fakes.get_mut(&id).expect("unknown executor");
        if loss == Loss::Gone {
            fake.down = true;
            fake.runs.clear();
            continue;
        }
        for fake_run in fake.runs.values_mut() {
            fake_run.planned_end = None;
        }
        sim.owner().unreachable.insert(id.clone());
        sim.unlisted.insert(id);
    }
}

/// A rack is lost together with the owner, while the largest team has far more work than it may run.
/// Guards against a team that starts nothing until the last lease is over, as all of its waiting tasks
/// were taken for running on a few executors.
#[test_case(1, Loss::Gone; "one executor")]
#[test_case(4, Loss::Gone; "a rack")]
#[test_case(1, Loss::CutOff; "one executor that runs on")]
#[test_case(4, Loss::CutOff; "a rack that runs on")]
fn a_team_runs_on_after_the_owner_is_lost_with_its_executors(lost: usize, loss: Loss) {
    let mut sim = Simulation::new(&[("captions", HOSTS)]);
    sim.set_team("large", 0, TEAM_CPU);
    sim.script = Box::new(|_, _| (1_500, RunOutcome::Done));
    let large = Some(team("large"));
    for number in 0..60 {
        sim.submit_as(large.clone(), number, "captions", vec![step(60)]);
    }
    sim.run(1_000);
    lose_executors(&mut sim, lost, loss);
    sim.replace_owner(2);
    sim.run(300);
    let later: Vec<JobId> = (100..104)
        .map(|number| sim.submit_as(large.clone(), number, "captions", vec![step(16)]))
        .collect();
    for _ in 0..40 {
        sim.run(100);
        let used = cpu_in_use(&sim);
        assert!(used <= TEAM_CPU, "{used} in use of {TEAM_CPU}");
    }
    let started = later.iter().filter(|&&job| {
        let mut starts = sim.starts.iter();
        starts.any(|start| start.1.job == job)
    });
    assert_eq!(started.count(), later.len(), "jobs of the team wait");
}

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        ..Resources::default()
    }
}

/// Returns the CPU that a team may use unseen at two services, of which one has an executor of
/// `capacity` with unknown runs.
fn bound(demand: &UnseenDemand, capacity: Option<u64>) -> u64 {
    let mut usage = UnseenUsage::default();
    usage.add(&team("large"), &service("captions"), demand);
    usage.add(&team("large"), &service("tags"), demand);
    let mut unknown = UnknownCapacity::default();
    unknown.add(&service("captions"), capacity.map(cpu).as_ref());
    let bounds = usage.bound(&unknown);
    bounds[&team("large")].cpu
}

#[test_case(500, Some(16_000), 500; "all of the demand may run")]
#[test_case(90_000, Some(16_000), 16_000; "the executor has less")]
#[test_case(90_000, None, 90_000; "the executor's capacity is unknown")]
fn usage_is_bounded_by_the_executors_of_a_service(reserved: u64, has: Option<u64>, bounded: u64) {
    let demand = UnseenDemand::new(cpu(reserved), cpu(reserved));
    assert_eq!(bound(&demand, has), bounded);
}

/// Best-effort tasks use CPU of their team's limit and reserve none on their executor.
#[test]
fn what_best_effort_tasks_use_is_not_bounded_by_capacity() {
    let step = Step {
        best_effort: true,
        ..step(1)
    };
    let demand = UnseenDemand::new(step.demand.times(100), step.reserved().times(100));
    assert_eq!(bound(&demand, Some(16_000)), step.demand.cpu * 100);
}
