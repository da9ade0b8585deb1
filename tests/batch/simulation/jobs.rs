//! Jobs of a simulated site, and their records.

use std::sync::Arc;

use mimosastep::batch::Event;
use mimosastep::batch::Job;
use mimosastep::batch::JobId;
use mimosastep::batch::JobState;
use mimosastep::batch::OwnerRequest;
use mimosastep::batch::OwnerResponse;
use mimosastep::batch::Queue;
use mimosastep::batch::Record;
use mimosastep::batch::Resources;
use mimosastep::batch::Schedule;
use mimosastep::batch::Step;
use mimosastep::name::QueueName;
use mimosastep::name::TeamName;

use crate::simulation::ROUND_TRIP_MS;
use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::service;

/// A step of tasks that each take one core and one second.
pub fn step(count: u32) -> Step {
    Step {
        count,
        demand: Resources {
            cpu: 1_000,
            memory: 100,
            gpu: 0,
        },
        estimate: 1_000,
        ..Step::default()
    }
}

/// A step of long-running tasks: at most one per executor, and at most one interrupted at a time.
pub fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        spread: Some(1),
        away: Some(1),
        ..step(count)
    }
}

/// A queue of the service with the same name.
pub(super) fn queue(name: &str) -> Queue {
    Queue {
        name: QueueName::new(name).expect("invalid name"),
        host: Arc::from("site.example"),
        prefix: Arc::from(format!("/{name}/")),
        service: service(name),
        public: false,
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        latency: 600,
        timeout: 3_000,
        advised: false,
    }
}

/// A job without a team and a schedule, accepted at `unix` (in milliseconds).
fn new_job(number: u64, pool: &str, steps: Vec<Step>, unix: u64) -> Job {
    Job {
        id: job_id(number),
        queue: QueueName::new(pool).expect("invalid name"),
        service: service(pool),
        team: None,
        spec: Arc::from("work"),
        steps,
        attempts: 3,
        schedule: None,
        accepted: unix,
    }
}

impl Simulation {
    /// Submits a job without a team.
    pub fn submit(&mut self, number: u64, pool: &str, steps: Vec<Step>) -> JobId {
        self.submit_as(None, number, pool, steps)
    }

    /// Submits a job, optionally of a team.
    pub fn submit_as(
        &mut self,
        team: Option<TeamName>,
        number: u64,
        pool: &str,
        steps: Vec<Step>,
    ) -> JobId {
        let job = Job {
            team,
            ..new_job(number, pool, steps, self.now.unix)
        };
        self.append_record(Record::Accepted(job));
        job_id(number)
    }

    /// Submits a job with a schedule.
    pub fn submit_scheduled(
        &mut self,
        number: u64,
        pool: &str,
        steps: Vec<Step>,
        schedule: Schedule,
    ) -> JobId {
        let job = Job {
            schedule: Some(schedule),
            ..new_job(number, pool, steps, self.now.unix)
        };
        self.append_record(Record::Accepted(job));
        job_id(number)
    }

    /// Makes the store reachable again for the elected owner; appends its pending records.
    pub fn restore_store(&mut self) {
        let now = self.now.at;
        let records = self.owner().restore_store(now);
        self.records.extend(records);
    }

    pub fn cancel(&mut self, job: JobId) {
        self.append_record(Record::Cancelled(job));
    }

    fn append_record(&mut self, record: Record) {
        self.records.push(record.clone());
        self.schedule(
            ROUND_TRIP_MS,
            Event::Records {
                records: vec![record],
                more: self.log_backlog,
            },
        );
    }

    pub fn job_state(&self, pool: &str, job: JobId) -> JobState {
        let queue = QueueName::new(pool).expect("invalid name");
        let owner = self.owners.last().expect("no owner");
        match owner.dispatcher.answer(&OwnerRequest::State(queue, job)) {
            OwnerResponse::State(Some(state)) => state,
            answer => panic!("expected a state of job {job}, got {answer:?}"),
        }
    }
}
