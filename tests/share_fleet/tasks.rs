//! Requests and their tasks.

use mimosastep::gate;
use mimosastep::gate::AttemptOutcome;
use mimosastep::gate::Submission;
use mimosastep::member::FRESHNESS_TTL;
use mimosastep::name::HostName;
use mimosastep::name::TeamName;
use mimosastep::wire::AttemptId;
use mimosastep::wire::RequestId;

use crate::share_fleet::Fleet;
use crate::share_fleet::LEASE_MS;
use crate::share_fleet::Outcome;
use crate::share_fleet::Task;
use crate::share_fleet::key;
use crate::share_fleet::name;

impl Fleet {
    /// Submits a request to a gate, with a deadline in `within` milliseconds.
    pub fn submit(&mut self, gate: usize, team: &str, service: &str, urgent: bool, within: u64) {
        let outcome = Outcome {
            team: team.to_owned(),
            service: service.to_owned(),
            urgent,
            is_retry: false,
            submitted_at: self.now,
            settled_at: self.now,
            retry_after: None,
        };
        self.submit_request(gate, outcome, within);
    }

    /// Submits a refused request again.
    pub fn submit_again(&mut self, gate: usize, refused: &Outcome, within: u64) {
        let outcome = Outcome {
            is_retry: true,
            submitted_at: self.now,
            retry_after: None,
            ..refused.clone()
        };
        self.submit_request(gate, outcome, within);
    }

    pub(super) fn submit_request(&mut self, gate: usize, outcome: Outcome, within: u64) {
        self.serial += 1;
        let submission = Submission {
            request: RequestId(u128::from(self.serial)),
            external_id: None,
            service: name(&outcome.service),
            key: Some(key(&outcome.team)),
            urgent: outcome.urgent,
            idempotent: false,
            deadline: self.instant(self.now + within),
        };
        self.open_requests.insert(submission.request, outcome);
        self.notify_gate(gate, gate::Event::Submit(submission));
    }

    pub(super) fn record_outcome(&mut self, request: RequestId, retry_after: Option<u64>) {
        if let Some(mut outcome) = self.open_requests.remove(&request) {
            outcome.settled_at = self.now;
            outcome.retry_after = retry_after;
            self.outcomes.push(outcome);
        }
    }

    pub(super) fn start_task(
        &mut self,
        gate: usize,
        attempt: AttemptId,
        host: HostName,
        team: TeamName,
    ) {
        self.started += 1;
        self.record_outcome(attempt.request, None);
        let run_ms = (self.run_ms)(&mut self.rng);
        let limit = self.highest_limit(&team);
        let running = self.running(team.as_str());
        if running >= limit {
            let now = self.now;
            self.violations.push(format!(
                "{now} ms: {team} starts a task beside {running} others, limit {limit}"
            ));
        }
        let task = Task {
            team,
            host,
            gate,
            incarnation: self.nodes[gate].incarnation,
            end_at: self.now + run_ms,
            lease_end: self.now + LEASE_MS,
        };
        self.tasks.insert(attempt, task);
    }

    /// The highest limit of a team in the states that a process may still treat as fresh.
    pub(super) fn highest_limit(&self, team: &TeamName) -> u32 {
        let since = self.now.saturating_sub(FRESHNESS_TTL.as_millis() as u64);
        let after = self.states.partition_point(|(at, _)| *at < since);
        let states = &self.states[after.saturating_sub(1)..];
        let limits = states.iter().map(|(_, state)| state.teams[team].limit);
        limits.max().unwrap_or(0)
    }

    pub(super) fn renew(&mut self, attempts: &[AttemptId]) {
        for attempt in attempts {
            if let Some(task) = self.tasks.get_mut(attempt) {
                task.lease_end = self.now + LEASE_MS;
            }
        }
    }

    pub(super) fn finish_tasks(&mut self) {
        let tasks = self.tasks.iter();
        let finished: Vec<AttemptId> = tasks
            .filter(|(_, task)| task.end_at.min(task.lease_end) <= self.now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in finished {
            let gate = self.tasks[&attempt].gate;
            let is_gate_running = self.is_running(gate)
                && self.nodes[gate].incarnation == self.tasks[&attempt].incarnation;
            if is_gate_running {
                self.tasks.remove(&attempt);
                let outcome = AttemptOutcome::Answered;
                self.notify_gate(gate, gate::Event::AttemptEnded(attempt, outcome));
            } else if self.tasks[&attempt].lease_end <= self.now {
                self.tasks.remove(&attempt);
            }
        }
    }
}
