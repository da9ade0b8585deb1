//! One service: its queue, its slots and the decision what starts next.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::health::Health;
use crate::health::HealthChange;
use crate::limit::divide;
use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::record::State;
use crate::sched::Action;
use crate::sched::held::Held;
use crate::sched::slots::Slots;
use crate::wire::Ask;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Grant;
use crate::wire::Message;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::Running;

/// Requests that may wait for each slot of a service.
const QUEUE_PER_SLOT: usize = 32;
/// How long a new scheduler waits for the reports of the gates, in milliseconds.
const REPORT_MS: u64 = 400;
/// How long a lost gate's slots stay occupied: a task lease and the time a state stays fresh, in
/// milliseconds.
const LOST_GATE_MS: u64 = 7_000;
/// When to come back after the queue was full, in milliseconds.
const RETRY_MS: u32 = 1_000;

/// Decides for one service.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceName,
    state: Rc<State>,
    since: u64,
    opens: Instant,
    reported: BTreeSet<LinkId>,
    queue: Queue,
    slots: Slots,
    health: Health,
}

impl Dispatcher {
    /// Takes a service over as of the state's epoch.
    #[must_use]
    pub fn open(service: ServiceName, state: Rc<State>, now: Instant) -> Self {
        let mut slots = Slots::default();
        slots.update(&state, &service);
        let mut health = Health::default();
        health.update(slots.hosts());
        Self {
            service,
            since: state.epoch,
            state,
            opens: now + Duration::from_millis(REPORT_MS),
            reported: BTreeSet::new(),
            queue: Queue::default(),
            slots,
            health,
        }
    }

    /// Goes on under a newer state.
    pub fn update(&mut self, state: Rc<State>) {
        self.slots.update(&state, &self.service);
        self.health.update(self.slots.hosts());
        self.state = state;
    }

    /// Queues a request, or refuses it at once; a repeated question gets the same answer.
    pub fn ask(&mut self, now: Instant, link: LinkId, ask: Ask, out: &mut Vec<Action>) {
        if self.queue.contains(&ask.attempt) {
            return;
        }
        if self.slots.holds(&ask.attempt) {
            let grant = self.slots.grant_of(&ask.attempt).map(Message::Grant);
            out.extend(grant.map(|grant| Action::Send(link, grant)));
            return;
        }
        if let Some(code) = self.refusal(now, &ask) {
            out.push(refuse(link, ask.attempt, code));
            return;
        }
        self.queue.push(Waiting {
            attempt: ask.attempt,
            link,
            team: ask.team,
            urgent: ask.urgent,
            since: now
                .checked_sub(Duration::from_millis(ask.waited.into()))
                .unwrap_or(now),
            deadline: now + Duration::from_millis(ask.remaining.into()),
            avoid: ask.avoid,
        });
    }

    /// Takes a request out of the queue and frees its slot.
    pub fn forget(&mut self, attempt: &AttemptId) {
        self.queue.remove(attempt);
        self.slots.release(attempt);
    }

    /// Frees the slot of an attempt and keeps what it says about its host.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        self.queue.remove(attempt);
        let Some(held) = self.slots.release(attempt) else {
            return;
        };
        let (host, team) = (&held.host, &held.team);
        let change = self
            .health
            .record(now, host, team, attempt.request, evidence);
        if let Some(change) = change {
            let note = note(change).host(host).service(&self.service);
            out.push(Action::Note(Box::new(note.request(attempt))));
        }
    }

    /// Adopts what a gate has running.
    pub fn report(&mut self, link: LinkId, epoch: u64, running: &[Running]) {
        let named = |attempt: &AttemptId| running.iter().any(|run| run.attempt == *attempt);
        for attempt in self.slots.attempts_of(link) {
            if !named(&attempt) {
                self.slots.release(&attempt);
            }
        }
        for run in running.iter().filter(|run| run.service == self.service) {
            self.slots.release(&run.attempt);
            let held = Held {
                host: run.host.clone(),
                team: run.team.clone(),
                link,
                expires: None,
            };
            self.slots.occupy(run.attempt, held);
        }
        if epoch >= self.since {
            self.reported.insert(link);
        }
    }

    /// Drops a gate's requests; its slots stay occupied until its tasks have surely ended.
    pub fn lose(&mut self, now: Instant, link: LinkId) {
        self.queue.remove_link(link);
        self.slots
            .expire_link(link, now + Duration::from_millis(LOST_GATE_MS));
        self.reported.remove(&link);
    }

    /// Refuses what can no longer start in time and frees slots of lost gates.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.slots.release_expired(now);
        self.health.expire(now);
        let expired = self.queue.remove_expired(now);
        out.extend(
            expired
                .into_iter()
                .map(|w| refuse(w.link, w.attempt, RefusalCode::DeadlineTooClose)),
        );
    }

    /// Grants slots until none is free or nothing may start.
    pub fn grant(&mut self, now: Instant, gates: usize, out: &mut Vec<Action>) {
        if self.reported.len() < gates && now < self.opens {
            return;
        }
        while let Some(action) = self.grant_one(now) {
            out.push(action);
        }
    }

    /// Requests that wait, and slots in use.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.queue.len(), self.slots.len())
    }

    /// Refuses everything that waits, because another process serves the service now.
    pub fn close(mut self, out: &mut Vec<Action>) {
        let left = self.queue.remove_where(|_| true);
        out.extend(
            left.into_iter()
                .map(|w| refuse(w.link, w.attempt, RefusalCode::Unavailable)),
        );
    }

    fn grant_one(&mut self, now: Instant) -> Option<Action> {
        let usage = |team: &TeamName| usage(&self.state, &self.service, &self.slots, team);
        let waiting = self.queue.next(usage)?;
        let admits = |host: &HostName, running| self.health.admits(now, host, running);
        let (host, placed) = self.slots.pick(&waiting.avoid, admits)?;
        let (host, addr) = (host.clone(), placed.addr);
        let attempt = waiting.attempt;
        let waiting = self.queue.remove(&attempt)?;
        let held = Held {
            host: host.clone(),
            team: waiting.team,
            link: waiting.link,
            expires: None,
        };
        self.slots.occupy(attempt, held);
        let grant = Grant {
            attempt,
            host,
            addr,
        };
        Some(Action::Send(waiting.link, Message::Grant(grant)))
    }

    fn refusal(&self, now: Instant, ask: &Ask) -> Option<RefusalCode> {
        let capacity = self.slots.capacity() as usize;
        if capacity == 0 {
            return Some(RefusalCode::NoCapacity);
        }
        if self.health.is_culprit(now, ask.attempt.request) {
            return Some(RefusalCode::JobFailing);
        }
        if ask.remaining == 0 {
            return Some(RefusalCode::DeadlineTooClose);
        }
        (self.queue.len() >= capacity * QUEUE_PER_SLOT).then_some(RefusalCode::Overloaded)
    }
}

/// Running slots of a team divided by its weight, or none if it is at its limit.
fn usage(state: &State, service: &ServiceName, slots: &Slots, team: &TeamName) -> Option<f64> {
    let row = state.teams.get(team)?;
    let services = state.services();
    let index = services.iter().position(|name| name == service)?;
    let permits = divide(row.limit, services.len() as u32, index as u32);
    let running = slots.running(team);
    (running < permits).then(|| f64::from(running) / f64::from(row.weight))
}

fn refuse(link: LinkId, attempt: AttemptId, code: RefusalCode) -> Action {
    let refusal = Refusal {
        attempt,
        code,
        retry_after: RETRY_MS,
    };
    Action::Send(link, Message::Refuse(refusal))
}

fn note(change: HealthChange) -> Note {
    match change {
        HealthChange::Ejected => Note::new(NoteKind::HostEjected, "fails every request"),
        HealthChange::TrialFailed => Note::new(NoteKind::HostEjected, "failed its trial"),
        HealthChange::Readmitted => Note::new(NoteKind::HostReadmitted, "passed its trial"),
    }
}
