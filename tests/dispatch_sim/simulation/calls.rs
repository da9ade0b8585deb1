//! Requests of callers and their answers.

use std::time::Duration;

use mimosastep::gate;
use mimosastep::gate::Submission;
use mimosastep::record::KeyHash;
use mimosastep::wire::RequestId;
use rand::RngExt;

use crate::call::Answer;
use crate::call::Call;
use crate::call::JobKind;
use crate::cluster;
use crate::simulation::Defect;
use crate::simulation::Simulation;

impl Simulation {
    pub(super) fn answer(&mut self, request: RequestId, answer: Answer) {
        let now = self.now_ms();
        let lost = self.defect == Some(Defect::LostAnswer) && request.0.is_multiple_of(7);
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.open_attempt = None;
        if lost {
            return;
        }
        call.times.1 = now;
        if self.defect == Some(Defect::DuplicateAnswer) {
            call.answers.push(answer.clone());
        }
        call.answers.push(answer);
    }

    pub(super) fn submission(&mut self, service: usize, idempotent: bool) -> Submission {
        let team = cluster::TEAMS[self.rng.random_range(0..cluster::TEAMS.len())];
        self.serial += 1;
        Submission {
            request: RequestId(u128::from(self.serial) * 2),
            external_id: None,
            service: cluster::SERVICES[service].parse().expect("a name"),
            key: Some(KeyHash::of(team.as_bytes())),
            urgent: false,
            idempotent,
            deadline: self.now + Duration::from_millis(self.rng.random_range(3_000..12_000)),
        }
    }

    pub(super) fn submit(&mut self, job: JobKind) -> RequestId {
        let live: Vec<usize> = (0..self.gates.len())
            .filter(|i| self.gates[*i].is_some())
            .collect();
        let gate = live[self.rng.random_range(0..live.len())];
        let service = self.rng.random_range(0..cluster::SERVICES.len());
        let idempotent = self.rng.random_bool(0.5);
        let submission = self.submission(service, idempotent);
        let request = submission.request;
        let call = Call {
            gate,
            service,
            idempotent,
            job,
            times: (self.now_ms(), 0),
            runs: 0,
            starts: 0,
            answers: Vec::new(),
            abandoned: false,
            open_attempt: None,
            held_error: None,
        };
        self.calls.insert(request, call);
        self.notify_gate(gate, gate::Event::Submit(submission));
        request
    }

    pub(super) fn abandon(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !call.answers.is_empty() || call.abandoned {
            return;
        }
        call.abandoned = true;
        let gate = call.gate;
        self.notify_gate(gate, gate::Event::CallerGone(request));
    }
}
