//! Tasks on backend servers.

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
use crate::call::Job;
use crate::cluster;
use crate::simulation::Break;
use crate::simulation::FRESH;
use crate::simulation::Item;
use crate::simulation::LEASE;
use crate::simulation::Simulation;

impl Simulation {
    /// Sends a request to a backend server.
    pub(super) fn start(&mut self, gate: usize, grant: Grant) {
        let attempt = grant.attempt;
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        call.runs += 1;
        call.open = Some(attempt);
        if self.backends[&grant.addr].down {
            let ended = AttemptOutcome::NotRun(Evidence::Unreachable);
            self.push(1, Item::Reply(gate, attempt, ended, None));
            return;
        }
        let delay = self.delay();
        let arrive = Item::Arrive(gate, attempt, grant.addr);
        if self.silent.contains(&(gate, grant.addr)) {
            // Bytes on a silent connection get lost, or come through late.
            if self.rng.random_bool(0.3) {
                let late = self.rng.random_range(2_000..6_000);
                self.push(late, arrive);
            }
            return;
        }
        let breaks = self.rng.random_bool(self.breakage);
        let sent = !breaks || self.rng.random_bool(0.5);
        if sent {
            self.push_at(self.now + delay, arrive);
        }
        if breaks {
            let after = self.rng.random_range(0..100);
            self.push(
                after,
                Item::Reply(gate, attempt, AttemptOutcome::Unknown, None),
            );
        }
    }

    pub(super) fn arrive(&mut self, gate: usize, attempt: AttemptId, addr: SocketAddr) {
        let run = self.rng.random_range(5..150);
        let lease = self.now + LEASE;
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        let fails = backend.fail_all || call.job == Job::Failing;
        let task = Task { gate, lease, fails };
        if !backend.start(attempt, task) {
            let ended = AttemptOutcome::NotRun(Evidence::Nothing);
            let at = self.now + self.delay();
            self.push_at(at, Item::Reply(gate, attempt, ended, None));
            return;
        }
        call.starts += 1;
        let (fail_all, hang) = (backend.fail_all, backend.hang);
        self.check_start(addr);
        self.push_at(lease, Item::Lapse(attempt, addr));
        if fail_all {
            self.push(0, Item::Due(attempt, addr));
        } else if !hang {
            self.push(run, Item::Due(attempt, addr));
        }
    }

    /// No start long after the data centre was taken out.
    pub(super) fn check_start(&mut self, addr: SocketAddr) {
        let host = self.state.hosts.values().find(|host| host.addr == addr);
        let host = host.expect("a host");
        let index = (0..3).find(|index| cluster::dc(*index) == host.dc);
        let since = index.and_then(|index| self.out_since.get(&index));
        if let Some(since) = since
            && self.now > *since + FRESH + Duration::from_secs(2)
        {
            self.found.push(format!("start at {addr}, taken out"));
        }
    }

    pub(super) fn finish(&mut self, attempt: AttemptId, addr: SocketAddr, lapsed: bool) {
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        let Some(task) = backend.running.remove(&attempt) else {
            return;
        };
        let ended = if task.fails || lapsed {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered
        };
        if self.silent.contains(&(task.gate, addr)) {
            return;
        }
        let crossed =
            self.broken == Some(Break::CrossedAnswer) && attempt.request.0.is_multiple_of(5);
        let body = RequestId(attempt.request.0 + u128::from(crossed));
        let at = self.now + self.delay();
        self.push_at(at, Item::Reply(task.gate, attempt, ended, Some(body)));
    }

    pub(super) fn reply(
        &mut self,
        gate: usize,
        attempt: AttemptId,
        mut ended: AttemptOutcome,
        body: Option<RequestId>,
    ) {
        let Some(call) = self.calls.get_mut(&attempt.request) else {
            return;
        };
        if call.open != Some(attempt) || call.gone {
            return;
        }
        call.open = None;
        match ended {
            AttemptOutcome::Answered => {
                let body = body.expect("a body");
                self.answer(attempt.request, Answer::Service(body));
            }
            AttemptOutcome::Failed => call.held = body,
            AttemptOutcome::Unknown if self.broken == Some(Break::BrokenIsNotRun) => {
                ended = AttemptOutcome::NotRun(Evidence::Nothing);
            }
            AttemptOutcome::Unknown | AttemptOutcome::NotRun(_) => {}
        }
        self.gate(gate, gate::Event::AttemptEnded(attempt, ended));
    }

    pub(super) fn cancel(&mut self, gate: usize, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let lost = self.rng.random_bool(0.02);
        let effect = !lost || self.rng.random_bool(0.5);
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        if backend.down || (lost && !effect) {
            for attempt in attempts {
                let event = gate::Event::CancelResult(attempt, CancelResult::Unreachable);
                self.push(1_000, Item::Gate(gate, event));
            }
            return;
        }
        let settled: Vec<_> = attempts.iter().map(|a| (*a, backend.cancel(*a))).collect();
        for (attempt, settled) in settled {
            let (wait, settled) = match lost {
                true => (Duration::from_secs(1), CancelResult::Unreachable),
                false => (self.delay(), settled),
            };
            let event = gate::Event::CancelResult(attempt, settled);
            self.push_at(self.now + wait, Item::Gate(gate, event));
        }
    }

    pub(super) fn renew(&mut self, gate: usize, addr: SocketAddr, attempts: Vec<AttemptId>) {
        let lease = self.now + LEASE;
        let backend = self.backends.get_mut(&addr).expect("a backend server");
        if backend.down {
            return;
        }
        let mut unknown = attempts.clone();
        unknown.retain(|attempt| match backend.running.get_mut(attempt) {
            Some(task) => {
                task.lease = lease;
                false
            }
            None => true,
        });
        for attempt in attempts {
            self.push_at(lease, Item::Lapse(attempt, addr));
        }
        let at = self.now + self.delay();
        self.push_at(at, Item::Gate(gate, gate::Event::UnknownAttempts(unknown)));
    }
}
