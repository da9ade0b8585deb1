//! Exchanges with backend servers and the tasks that run on them.

use std::net::SocketAddr;
use std::time::Duration;

use mimosastep::gate;
use mimosastep::gate::AttemptOutcome;
use mimosastep::gate::CancelResult;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Grant;
use mimosastep::wire::RequestId;
use rand::RngExt;

use crate::backend::Task;
use crate::call::Answer;
use crate::call::JobKind;
use crate::cluster;
use crate::simulation::Defect;
use crate::simulation::FRESHNESS;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::TASK_LEASE;

impl Simulation {
    /// Sends a granted request to its backend server.
    pub(super) fn send_attempt(&mut self, gate: usize, grant: Grant) {
        let attempt = grant.attempt;
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        call.runs += 1;
        call.open_attempt = Some(attempt);
        if self.backends[&grant.addr].down {
            let outcome = AttemptOutcome::NotRun(Evidence::Unreachable);
            self.push(1, SimEvent::Reply(gate, attempt, outcome, None));
            return;
        }
        let delay = self.delay();
        let arrival = SimEvent::Arrive(gate, attempt, grant.addr);
        if self.silent_connections.contains(&(gate, grant.addr)) {
            // A request on a silent connection is lost, or arrives late.
            if self.rng.random_bool(0.3) {
                let delay_ms = self.rng.random_range(2_000..6_000);
                self.push(delay_ms, arrival);
            }
            return;
        }
        let connection_breaks = self.rng.random_bool(self.break_probability);
        let sent = !connection_breaks || self.rng.random_bool(0.5);
        if sent {
            self.push_at(self.now + delay, arrival);
        }
        if connection_breaks {
            let after = self.rng.random_range(0..100);
            self.push(
                after,
                SimEvent::Reply(gate, attempt, AttemptOutcome::Unknown, None),
            );
        }
    }

    pub(super) fn arrive(&mut self, gate: usize, attempt: AttemptId, addr: SocketAddr) {
        let run_ms = self.rng.random_range(5..150);
        let lease_end = self.now + TASK_LEASE;
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        let fails = backend.fail_all || call.job == JobKind::Failing;
        let task = Task {
            gate,
            lease_end,
            fails,
        };
        if !backend.start(attempt, task) {
            let outcome = AttemptOutcome::NotRun(Evidence::Nothing);
            let at = self.now + self.delay();
            self.push_at(at, SimEvent::Reply(gate, attempt, outcome, None));
            return;
        }
        call.starts += 1;
        let (fail_all, hang) = (backend.fail_all, backend.hang);
        self.check_start(addr);
        self.push_at(lease_end, SimEvent::LeaseExpired(attempt, addr));
        if fail_all {
            self.push(0, SimEvent::Complete(attempt, addr));
        } else if !hang {
            self.push(run_ms, SimEvent::Complete(attempt, addr));
        }
    }

    /// Records a violation if a task starts in a data centre that was taken out of service more
    /// than the freshness period and two seconds ago.
    pub(super) fn check_start(&mut self, addr: SocketAddr) {
        let host = self.state.hosts.values().find(|host| host.addr == addr);
        let host = host.expect("a host");
        let index = (0..3).find(|index| cluster::dc(*index) == host.dc);
        let since = index.and_then(|index| self.inactive_since.get(&index));
        if let Some(since) = since
            && self.now > *since + FRESHNESS + Duration::from_secs(2)
        {
            self.violations.push(format!("start at {addr}, taken out"));
        }
    }

    pub(super) fn finish(&mut self, attempt: AttemptId, addr: SocketAddr, lease_expired: bool) {
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        let Some(task) = backend.running.remove(&attempt) else {
            return;
        };
        let outcome = if task.fails || lease_expired {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered
        };
        if self.silent_connections.contains(&(task.gate, addr)) {
            return;
        }
        let mismatched =
            self.defect == Some(Defect::MismatchedAnswer) && attempt.request.0.is_multiple_of(5);
        let body = RequestId(attempt.request.0 + u128::from(mismatched));
        let at = self.now + self.delay();
        self.push_at(at, SimEvent::Reply(task.gate, attempt, outcome, Some(body)));
    }

    pub(super) fn reply(
        &mut self,
        gate: usize,
        attempt: AttemptId,
        mut outcome: AttemptOutcome,
        body: Option<RequestId>,
    ) {
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        if call.open_attempt != Some(attempt) || call.abandoned {
            return;
        }
        call.open_attempt = None;
        match outcome {
            AttemptOutcome::Answered => {
                let body = body.expect("a body");
                self.answer(attempt.request, Answer::Service(body));
            }
            AttemptOutcome::Failed => call.held_error = body,
            AttemptOutcome::Unknown if self.defect == Some(Defect::BrokenAsNotRun) => {
                outcome = AttemptOutcome::NotRun(Evidence::Nothing);
            }
            AttemptOutcome::Unknown | AttemptOutcome::NotRun(_) => {}
        }
        self.notify_gate(gate, gate::Event::AttemptEnded(attempt, outcome));
    }

    pub(super) fn cancel(&mut self, gate: usize, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let answer_lost = self.rng.random_bool(0.02);
        let delivered = !answer_lost || self.rng.random_bool(0.5);
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        if backend.down || (answer_lost && !delivered) {
            for attempt in attempts {
                let event = gate::Event::CancelResult(attempt, CancelResult::Unreachable);
                self.push(1_000, SimEvent::Gate(gate, event));
            }
            return;
        }
        let results: Vec<_> = attempts.iter().map(|a| (*a, backend.cancel(*a))).collect();
        for (attempt, result) in results {
            let (wait, result) = match answer_lost {
                true => (Duration::from_secs(1), CancelResult::Unreachable),
                false => (self.delay(), result),
            };
            let event = gate::Event::CancelResult(attempt, result);
            self.push_at(self.now + wait, SimEvent::Gate(gate, event));
        }
    }

    pub(super) fn renew(&mut self, gate: usize, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let lease_end = self.now + TASK_LEASE;
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        if backend.down {
            return;
        }
        let mut unknown = attempts.clone();
        unknown.retain(|attempt| match backend.running.get_mut(attempt) {
            Some(task) => {
                task.lease_end = lease_end;
                false
            }
            None => true,
        });
        for attempt in attempts {
            self.push_at(lease_end, SimEvent::LeaseExpired(attempt, addr));
        }
        let at = self.now + self.delay();
        self.push_at(
            at,
            SimEvent::Gate(gate, gate::Event::UnknownAttempts(unknown)),
        );
    }
}
