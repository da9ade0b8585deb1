//! A seeded trial of sites with random jobs and faults: no task stands still beside free capacity.

use std::collections::BTreeMap;

use mimosastep::batch::JobId;
use mimosastep::batch::JobState;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::batch::TaskId;
use mimosastep::name::ExecutorId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

use crate::simulation::OwnerFault;
use crate::simulation::Simulation;
use crate::simulation::long_running;
use crate::simulation::step;
use crate::simulation::team;

/// Pools whose queues get jobs.
const POOLS: [&str; 2] = ["captions", "tags"];
/// Number of turns of a fraught period.
const TURNS: usize = 100;
/// Length of a turn, in milliseconds.
const TURN_MS: u64 = 150;
/// Time after the last fault in which leases end and owners stop waiting for them, in milliseconds.
const SETTLE_MS: u64 = 7_000;
/// Time after that by which all work is done, in milliseconds.
const CALM_MS: u64 = 20_000;

/// A job and what is expected of it.
struct Submitted {
    id: JobId,
    pool: &'static str,
    steps: Vec<Step>,
    cancelled: bool,
}

impl Submitted {
    const fn task(&self, step: u32, index: u32) -> TaskId {
        TaskId {
            job: self.id,
            occurrence: 0,
            step,
            index,
        }
    }
}

/// A site with random jobs and faults.
struct Trial {
    rng: StdRng,
    sim: Simulation,
    jobs: Vec<Submitted>,
    fence: u64,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::new(&[("captions", 5), ("tags", 5), ("spare", 6)]);
        sim.script = Box::new(|task, run| {
            let ms = 200 + (task.job.draw() ^ u64::from(task.index) ^ run) % 1_500;
            (ms, RunOutcome::Done)
        });
        Self {
            rng: StdRng::seed_from_u64(seed),
            sim,
            jobs: Vec::new(),
            fence: 1,
        }
    }

    fn submit(&mut self) {
        let rng = &mut self.rng;
        let number = self.jobs.len() as u64 + 1;
        let pool = POOLS[rng.random_range(0..POOLS.len())];
        let lasting = rng.random_bool(0.05);
        let steps = if lasting {
            vec![long_running(rng.random_range(1..4))]
        } else {
            (0..rng.random_range(1..4))
                .map(|at| random_step(rng, at))
                .collect()
        };
        let team = rng.random_bool(0.3).then(|| team("team"));
        let id = self.sim.submit_as(team, number, pool, steps.clone());
        self.jobs.push(Submitted {
            id,
            pool,
            steps,
            cancelled: false,
        });
    }

    fn cancel(&mut self) {
        let at = self.rng.random_range(0..self.jobs.len());
        self.jobs[at].cancelled = true;
        self.sim.cancel(self.jobs[at].id);
    }

    fn executor(&mut self) -> ExecutorId {
        let up: Vec<ExecutorId> = self
            .sim
            .fakes
            .iter()
            .filter(|(_, fake)| !fake.down)
            .map(|(id, _)| id.clone())
            .collect();
        up[self.rng.random_range(0..up.len())].clone()
    }

    fn disturb(&mut self) {
        let store_down = self.sim.owner().store_down;
        match self.rng.random_range(0..16) {
            0 => {
                let id = self.executor();
                self.sim.owner().unreachable.insert(id);
            }
            1 => self.sim.owner().unreachable.clear(),
            2 => {
                let id = self.executor();
                self.sim.failing.insert(id);
            }
            3 => self.sim.failing.clear(),
            4 => self.sim.lost_starts += 3,
            5 => self.sim.lost_stops += 2,
            6 if !store_down => self.sim.owner().store_down = true,
            6 | 7 if store_down => self.sim.restore_store(),
            8 if !store_down => {
                self.fence += 1;
                self.sim.replace_owner(self.fence);
            }
            9 if !store_down => {
                self.fence += 1;
                let faults = [
                    OwnerFault::CutOff,
                    OwnerFault::Unnotified,
                    OwnerFault::Paused(900),
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                self.sim.supersede_owner(self.fence, fault);
            }
            10 => self.sim.close_dc("dc-a", self.rng.random_bool(0.5)),
            11 => {
                let id = self.executor();
                self.sim.draining.insert(id);
            }
            12 => self.sim.draining.clear(),
            13 => self.sim.log_backlog = self.rng.random_bool(0.3),
            14 => self.sim.set_team("team", 4, 8_000),
            15 => self
                .sim
                .request_wave(&["captions-0", "tags-1", "spare-0"], 12_000, 1),
            _ => {}
        }
    }

    /// Whether a job has a task whose turn has come and none that runs, while its pool has room for
    /// that task twice over and is less than half in use.
    fn stands_still(&self, job: &Submitted) -> bool {
        let running = |task: &TaskId| task.job == job.id;
        let runs = self.sim.fakes.values().flat_map(|fake| fake.runs.keys());
        if job.cancelled || job.steps[0].long_running || runs.into_iter().any(running) {
            return false;
        }
        let done = |number: u32| {
            let step = &job.steps[number as usize];
            (0..step.count).all(|index| self.sim.done.contains(&job.task(number, index)))
        };
        let next = (0..job.steps.len() as u32).find(|&number| !done(number));
        let Some(next) = next else {
            return false;
        };
        let state = self.sim.job_state(job.pool, job.id);
        if !matches!(state, JobState::Queued | JobState::Running) {
            return false;
        }
        let demand = job.steps[next as usize].reserved();
        let mut places = 0;
        let mut used = 0;
        let mut total = 0;
        for executor in self.sim.executors_of(job.pool) {
            let mut taken = executor.used();
            used += taken.cpu;
            total += executor.capacity.cpu;
            while demand.fits(&taken, &executor.capacity) {
                taken.add(&demand);
                places += 1;
            }
        }
        places >= 2 && used * 2 < total
    }

    fn watch(&mut self, ms: u64, seed: u64) {
        let mut since: BTreeMap<JobId, u64> = BTreeMap::new();
        for _ in 0..ms / 50 {
            self.sim.run(50);
            let unix = self.sim.now.unix;
            for job in &self.jobs {
                if !self.stands_still(job) {
                    since.remove(&job.id);
                    continue;
                }
                let first = *since.entry(job.id).or_insert(unix);
                assert!(
                    unix < first + 3_000,
                    "seed {seed}: {} of {} stands still since {first}",
                    job.id,
                    job.pool
                );
            }
        }
    }

    fn calm(&mut self, seed: u64) {
        self.sim.owner().unreachable.clear();
        self.sim.failing.clear();
        self.sim.draining.clear();
        self.sim.lost_starts = 0;
        self.sim.lost_stops = 0;
        self.sim.log_backlog = false;
        self.sim.set_team("team", 4, 0);
        self.sim.close_dc("dc-a", false);
        if self.sim.owner().store_down {
            self.sim.restore_store();
        }
        self.submit();
        self.sim.run(SETTLE_MS);
        self.watch(CALM_MS, seed);
    }

    /// Checks that each job has ended, and that each long-running task runs.
    fn check(&self, seed: u64) {
        for job in self.jobs.iter().filter(|job| !job.cancelled) {
            let state = self.sim.job_state(job.pool, job.id);
            if job.steps[0].long_running {
                let idle = (0..job.steps[0].count).filter(|&index| {
                    let task = job.task(0, index);
                    self.sim.executors_running(&task).is_empty()
                });
                assert_eq!(idle.count(), 0, "seed {seed}: idle tasks of {}", job.id);
                continue;
            }
            assert!(
                matches!(state, JobState::Completed | JobState::Failed),
                "seed {seed}: {} is {state:?}",
                job.id
            );
        }
    }
}

fn random_step(rng: &mut StdRng, at: u32) -> Step {
    Step {
        demand: Resources {
            cpu: rng.random_range(1..9) * 1_000,
            memory: rng.random_range(1..25) * 1_000,
            gpu: 0,
        },
        after: (0..at).collect(),
        spread: rng.random_bool(0.2).then_some(1),
        ..step(rng.random_range(1..9))
    }
}

/// Guards against tasks that never start again: whatever went wrong before, all accepted work
/// ends once the faults are over.
#[test_case(0; "first")]
#[test_case(1; "second")]
#[test_case(2; "third")]
fn all_work_ends_once_the_faults_are_over(part: u64) {
    for seed in part * 40..(part + 1) * 40 {
        let mut trial = Trial::new(seed);
        for _ in 0..TURNS {
            if trial.rng.random_bool(0.6) {
                trial.submit();
            }
            if trial.rng.random_bool(0.03) && !trial.jobs.is_empty() {
                trial.cancel();
            }
            if trial.rng.random_bool(0.4) {
                trial.disturb();
            }
            trial.sim.run(TURN_MS);
        }
        trial.calm(seed);
        trial.check(seed);
    }
}
