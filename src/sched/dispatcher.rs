//! Dispatching for one service: its queue, its slots and the choice of the next request.

mod overload;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::health::Health;
use crate::health::HealthChange;
use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::queue::QueuedRequest;
use crate::queue::ServiceQueue;
use crate::record::State;
use crate::sched::Action;
use crate::sched::gate_registry::GateRegistry;
use crate::sched::occupant::Occupant;
use crate::sched::quota::Quotas;
use crate::sched::refusals::Refusals;
use crate::sched::reserve::urgent_cap;
use crate::sched::slots::Slots;
use crate::sched::throughput::Throughput;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Grant;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::Running;
use crate::wire::ServiceLoad;
use crate::wire::SlotRequest;

/// Queued requests allowed for each slot of a service while its throughput is unknown.
const QUEUE_PER_SLOT: usize = 32;
/// Maximum number of queued requests of a service.
const QUEUE_LIMIT: usize = 100_000;
/// How long a service that was just opened waits for the reports of all gates before it grants
/// slots without them, in milliseconds.
const REPORT_WAIT_MS: u64 = 400;
/// Retry delay of refusals that are not based on a forecast, in milliseconds.
const RETRY_MS: u32 = 1_000;
/// Safety factor on a request's predicted time to completion, compared with its deadline. A
/// request that starts and is cut off at its deadline wastes a slot and counts against its host.
const DEADLINE_FACTOR: f64 = 1.25;
/// A team asks for more permits than it could use now: one, plus its running slots divided by this.
const HEADROOM_DIVISOR: u32 = 8;

/// Queue, slots and host health of one service.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceName,
    /// Epoch of the state as of which this scheduler serves the service.
    opened_epoch: u64,
    /// When slots are granted even if gates have not reported.
    grants_from: Instant,
    queue: ServiceQueue,
    slots: Slots,
    throughput: Throughput,
    /// Throughput by team, for teams with requests queued or running here.
    team_throughput: BTreeMap<TeamName, Throughput>,
    refusals: Refusals,
    /// Whether any team of the fleet may mark requests as urgent.
    any_urgent: bool,
    health: Health,
}

impl Dispatcher {
    /// Starts serving a service as of the state's epoch. `slots` holds the requests that this
    /// scheduler still counts from serving it before; those that gates have reported are added.
    #[must_use]
    pub fn open(
        service: ServiceName,
        state: &State,
        now: Instant,
        mut slots: Slots,
        gates: &GateRegistry,
    ) -> Self {
        slots.update(state, &service);
        for (gate, run) in gates.running() {
            if run.service == service {
                slots.adopt(now, gate, run);
            }
        }
        let mut health = Health::default();
        health.update(slots.hosts());
        Self {
            service,
            opened_epoch: state.epoch,
            grants_from: now + Duration::from_millis(REPORT_WAIT_MS),
            queue: ServiceQueue::default(),
            slots,
            throughput: Throughput::default(),
            team_throughput: BTreeMap::new(),
            refusals: Refusals::default(),
            any_urgent: has_urgent_team(state),
            health,
        }
    }

    /// Applies a newer state.
    pub fn update(&mut self, state: &Rc<State>) {
        self.slots.update(state, &self.service);
        self.health.update(self.slots.hosts());
        self.any_urgent = has_urgent_team(state);
    }

    /// Recomputes the usable slots of data centres that have recently returned to service.
    pub fn update_filling(&mut self, state: &Rc<State>, clock: u64) {
        self.slots.set_clock(clock);
        self.slots.update(state, &self.service);
    }

    /// Queues a request or refuses it. Repeated attempts are idempotent: one that is queued stays
    /// queued, one that holds a slot is sent its grant again.
    pub fn ask(
        &mut self,
        now: Instant,
        link: LinkId,
        ask: SlotRequest,
        quotas: &Quotas,
        out: &mut Vec<Action>,
    ) {
        if self.queue.contains(&ask.attempt) {
            return;
        }
        if self.slots.contains(&ask.attempt) {
            let grant = self.slots.grant_of(&ask.attempt).map(Message::Grant);
            out.extend(grant.map(|grant| Action::Send(link, grant)));
            return;
        }
        if ask.urgent {
            self.throughput.record_urgent(now);
        }
        let forecast = self.forecast(&ask.team, ask.urgent, quotas);
        if let Some(code) = self.refusal(now, &ask, forecast) {
            out.push(self.refuse(now, link, &ask, code, forecast));
            return;
        }
        self.queue.push(QueuedRequest {
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

    /// Removes an attempt from the queue and frees its slot.
    pub fn remove(&mut self, attempt: &AttemptId) {
        self.queue.remove(attempt);
        self.slots.release(attempt);
    }

    /// Frees the slot of a finished attempt and records the evidence about its host.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        self.queue.remove(attempt);
        let Some(occupant) = self.slots.release(attempt) else {
            return;
        };
        self.throughput.finish(now, occupant.since);
        let throughput = self
            .team_throughput
            .entry(occupant.team.clone())
            .or_default();
        throughput.finish(now, occupant.since);
        let (host, team) = (&occupant.host, &occupant.team);
        let change = self
            .health
            .record(now, host, team, attempt.request, evidence);
        if let Some(change) = change {
            let note = health_note(change).host(host).service(&self.service);
            out.push(Action::Note(Box::new(note.request(attempt))));
        }
    }

    /// Synchronises the occupied slots with what a gate reports as running.
    pub fn report(&mut self, now: Instant, gate: &Peer, link: LinkId, running: &[Running]) {
        self.slots.confirm(gate, link, running);
        for run in running.iter().filter(|run| run.service == self.service) {
            self.slots.adopt(now, gate, run);
        }
    }

    /// Removes the queued requests of a lost link. Slots of its gate stay occupied, since its
    /// requests may still run.
    pub fn remove_link(&mut self, link: LinkId) {
        self.queue.remove_link(link);
    }

    /// Frees the slots of a gate that can no longer have anything running.
    pub fn release_gate(&mut self, gate: &Peer) {
        self.slots.release_gate(gate);
    }

    /// Periodic work: refuses queued requests whose deadline has passed, and updates health,
    /// throughput and refusal notes.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.health.expire(now);
        self.observe(now);
        self.refusals.take_due(now, &self.service, out);
        let expired = self.queue.remove_expired(now);
        out.extend(
            expired
                .into_iter()
                .map(|w| refuse(w.link, w.attempt, RefusalCode::DeadlineTooClose, RETRY_MS)),
        );
    }

    /// Grants at most one slot; returns whether it did.
    pub fn grant(
        &mut self,
        now: Instant,
        state: &State,
        gates: &GateRegistry,
        quotas: &mut Quotas,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.queue.is_empty() || self.slots.vacant() == 0 {
            return false;
        }
        if now < self.grants_from && !gates.is_complete(state, self.opened_epoch) {
            return false;
        }
        let reserve = self.reserve(now);
        let granted = self.grant_one(now, reserve, gates, quotas);
        let any = granted.is_some();
        out.extend(granted);
        any
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Load of the service, as reported to fleet processes.
    #[must_use]
    pub fn load(&self) -> ServiceLoad {
        ServiceLoad {
            service: self.service.clone(),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            running: self.slots.in_use(),
            capacity: self.slots.capacity(),
            busy: self.slots.busy(),
        }
    }

    /// Stops serving because the service is now placed on another process: refuses all queued
    /// requests and returns the slots that are still occupied.
    pub fn close(mut self, out: &mut Vec<Action>) -> Slots {
        let left = self.queue.remove_all();
        out.extend(
            left.into_iter()
                .map(|w| refuse(w.link, w.attempt, RefusalCode::Unavailable, RETRY_MS)),
        );
        self.slots
    }

    /// Slots of the service, and the attempts that occupy them.
    #[must_use]
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Number of further slots that a team could use: the free slots or the unused part of its fair
    /// share, whichever is larger, plus a margin, and at most its queued requests. `total` is the
    /// weight of all teams that have requests here.
    #[must_use]
    pub fn demand(&self, team: &TeamName, weight: u32, total: u64) -> u32 {
        let waiting = u32::try_from(self.queue.len_of(team)).unwrap_or(u32::MAX);
        if waiting == 0 {
            return 0;
        }
        let running = self.slots.running(team);
        let share = u64::from(self.slots.capacity()) * u64::from(weight);
        let share = u32::try_from(share.div_ceil(total.max(1))).unwrap_or(u32::MAX);
        let room = self.slots.vacant().max(share.saturating_sub(running));
        waiting.min(room + 1 + running / HEADROOM_DIVISOR)
    }

    /// Total weight of the teams that have requests queued or running.
    #[must_use]
    pub fn weight(&self, quotas: &Quotas) -> u64 {
        let idle = |team: &&TeamName| self.queue.len_of(team) == 0;
        let running = self.slots.teams().map(|(team, _)| team).filter(idle);
        let teams = self.queue.teams().map(|(team, _)| team).chain(running);
        teams
            .filter_map(|team| quotas.get(team))
            .map(|quota| u64::from(quota.weight))
            .sum()
    }

    fn grant_one(
        &mut self,
        now: Instant,
        reserve: u32,
        gates: &GateRegistry,
        quotas: &mut Quotas,
    ) -> Option<Action> {
        let urgent_open = self.slots.urgent() < urgent_cap(self.slots.capacity());
        let regular_open = self.slots.vacant() > reserve;
        let rank = |team: &TeamName, urgent| {
            let quota = quotas.get(team).filter(|quota| quota.may_start(urgent))?;
            let open = if urgent { urgent_open } else { regular_open };
            open.then(|| f64::from(self.slots.running(team)) / f64::from(quota.weight))
        };
        let request = self.queue.next(rank)?;
        let may_assign = |host: &HostName, running| self.health.may_assign(now, host, running);
        let (host, row) = self.slots.pick_host(&request.avoid, may_assign)?;
        let (host, addr) = (host.clone(), row.addr);
        let attempt = request.attempt;
        let gate = gates.gate(request.link)?.clone();
        let request = self.queue.remove(&attempt)?;
        if let Some(quota) = quotas.get_mut(&request.team) {
            quota.running += 1;
        }
        let occupant = Occupant {
            host: host.clone(),
            team: request.team,
            urgent: request.urgent,
            gate,
            unconfirmed: Some(request.link),
            since: now,
        };
        self.slots.occupy(attempt, occupant);
        let grant = Grant {
            attempt,
            host,
            addr,
        };
        Some(Action::Send(request.link, Message::Grant(grant)))
    }
}

/// Predicted course of a request; times in seconds.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    /// Time until a slot is free for it.
    wait: f64,
    /// Mean run time.
    run_time: f64,
    /// Mean time between two starts of its team.
    interval: f64,
    /// Completed requests of the service per second.
    rate: f64,
}

fn has_urgent_team(state: &State) -> bool {
    state.teams.values().any(|row| row.urgent)
}

fn refuse(link: LinkId, attempt: AttemptId, code: RefusalCode, delay: u32) -> Action {
    let refusal = Refusal {
        attempt,
        code,
        retry_after: delay,
    };
    Action::Send(link, Message::Refuse(refusal))
}

fn health_note(change: HealthChange) -> Note {
    match change {
        HealthChange::Ejected => Note::new(NoteKind::HostEjected, "fails every request"),
        HealthChange::TrialFailed => Note::new(NoteKind::HostEjected, "failed its trial"),
        HealthChange::Readmitted => Note::new(NoteKind::HostReadmitted, "passed its trial"),
    }
}
