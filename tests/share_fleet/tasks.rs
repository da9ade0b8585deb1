//! Requests and the tasks that run for them.

use mimosastep::gate;
use mimosastep::gate::AttemptOutcome;
use mimosastep::gate::Submission;
use mimosastep::member::FRESHNESS_TTL;
use mimosastep::name::HostName;
use mimosastep::name::TeamName;
use mimosastep::wire::AttemptId;
use mimosastep::wire::RequestId;

use crate::share_fleet::Fleet;
use crate::share_fleet::LEASE;
use crate::share_fleet::Outcome;
use crate::share_fleet::Task;
use crate::share_fleet::key;
use crate::share_fleet::name;

impl Fleet {
    /// Sends a caller's request to a gate.
    pub fn submit(&mut self, gate: usize, team: &str, service: &str, urgent: bool, within: u64) {
        let outcome = Outcome {
            team: team.to_owned(),
            service: service.to_owned(),
            urgent,
            again: false,
            submitted_at: self.now,
            settled_at: self.now,
            retry_after: None,
        };
        self.submit_as(gate, outcome, within);
    }

    /// Sends a request again that was refused.
    pub fn submit_again(&mut self, gate: usize, refused: &Outcome, within: u64) {
        let outcome = Outcome {
            again: true,
            submitted_at: self.now,
            retry_after: None,
            ..refused.clone()
        };
        self.submit_as(gate, outcome, within);
    }

    pub(super) fn submit_as(&mut self, gate: usize, outcome: Outcome, within: u64) {
        self.serial += 1;
        let submission = Submission {
            request: RequestId(u128::from(self.serial)),
            external_id: None,
            service: name(&outcome.service),
            key: Some(key(&outcome.team)),
            urgent: outcome.urgent,
            idempotent: false,
            deadline: self.at(self.now + within),
        };
        self.open.insert(submission.request, outcome);
        self.tell_gate(gate, gate::Event::Submit(submission));
    }

    pub(super) fn settle(&mut self, request: RequestId, retry_after: Option<u64>) {
        if let Some(mut outcome) = self.open.remove(&request) {
            outcome.settled_at = self.now;
            outcome.retry_after = retry_after;
            self.outcomes.push(outcome);
        }
    }

    pub(super) fn run(&mut self, gate: usize, attempt: AttemptId, host: HostName, team: TeamName) {
        self.started += 1;
        self.settle(attempt.request, None);
        let run_ms = (self.run_ms)(&mut self.rng);
        let limit = self.limit_now(&team);
        let running = self.running(team.as_str());
        if running >= limit {
            let now = self.now;
            self.violations.push(format!(
                "{now} ms: {team} starts beside {running}, limit {limit}"
            ));
        }
        let task = Task {
            team,
            host,
            gate,
            incarnation: self.nodes[gate].incarnation,
            ends: self.now + run_ms,
            lease: self.now + LEASE,
        };
        self.tasks.insert(attempt, task);
    }

    /// The highest limit that a fresh state may still show.
    pub(super) fn limit_now(&self, team: &TeamName) -> u32 {
        let since = self.now.saturating_sub(FRESHNESS_TTL.as_millis() as u64);
        let after = self.states.partition_point(|(at, _)| *at < since);
        let states = &self.states[after.saturating_sub(1)..];
        let limits = states.iter().map(|(_, state)| state.teams[team].limit);
        limits.max().unwrap_or(0)
    }

    pub(super) fn renew(&mut self, attempts: &[AttemptId]) {
        for attempt in attempts {
            if let Some(task) = self.tasks.get_mut(attempt) {
                task.lease = self.now + LEASE;
            }
        }
    }

    pub(super) fn finish_tasks(&mut self) {
        let tasks = self.tasks.iter();
        let over: Vec<AttemptId> = tasks
            .filter(|(_, task)| task.ends.min(task.lease) <= self.now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in over {
            let gate = self.tasks[&attempt].gate;
            let lives =
                self.live(gate) && self.nodes[gate].incarnation == self.tasks[&attempt].incarnation;
            if lives {
                self.tasks.remove(&attempt);
                let ended = AttemptOutcome::Answered;
                self.tell_gate(gate, gate::Event::AttemptEnded(attempt, ended));
            } else if self.tasks[&attempt].lease <= self.now {
                self.tasks.remove(&attempt);
            }
        }
    }
}
