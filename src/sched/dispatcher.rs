//! One service: its queue, its slots and the decision what starts next.

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
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::record::State;
use crate::sched::Action;
use crate::sched::drain::Drain;
use crate::sched::held::Held;
use crate::sched::quota::Quotas;
use crate::sched::refusals::Refusals;
use crate::sched::reserve::urgent_cap;
use crate::sched::roster::Roster;
use crate::sched::slots::Slots;
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

/// Requests that may wait for each slot of a service whose drain rate is not known yet.
const QUEUE_PER_SLOT: usize = 32;
/// Most requests that may wait for a service.
const QUEUE_LIMIT: usize = 100_000;
/// How long a new scheduler waits for the reports of the gates, in milliseconds.
const REPORT_MS: u64 = 400;
/// When to come back if the drain rate is not known yet, in milliseconds.
const RETRY_MS: u32 = 1_000;
/// Part of its deadline that a request's predicted end must leave free, as a factor: what starts
/// and is cut off at the deadline wastes a slot and counts against its host.
const MARGIN: f64 = 1.25;
/// Permits are wanted for one slot more than can be had for each so many that run.
const WANT_PART: u32 = 8;

/// Decides for one service.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceName,
    since: u64,
    opens: Instant,
    queue: Queue,
    slots: Slots,
    drain: Drain,
    /// The same by team, of those that have requests here.
    drains: BTreeMap<TeamName, Drain>,
    refusals: Refusals,
    /// Whether a team that may use the service may mark requests as urgent.
    urgency: bool,
    health: Health,
}

impl Dispatcher {
    /// Takes a service over as of the state's epoch, with the slots that this scheduler still
    /// counts from an earlier time and those that gates have reported.
    #[must_use]
    pub fn open(
        service: ServiceName,
        state: &State,
        now: Instant,
        mut slots: Slots,
        roster: &Roster,
    ) -> Self {
        slots.update(state, &service);
        for (gate, run) in roster.running() {
            if run.service == service {
                slots.adopt(now, gate, run);
            }
        }
        let mut health = Health::default();
        health.update(slots.hosts());
        Self {
            service,
            since: state.epoch,
            opens: now + Duration::from_millis(REPORT_MS),
            queue: Queue::default(),
            slots,
            drain: Drain::default(),
            drains: BTreeMap::new(),
            refusals: Refusals::default(),
            urgency: has_urgency(state),
            health,
        }
    }

    /// Goes on under a newer state.
    pub fn update(&mut self, state: &Rc<State>) {
        self.slots.update(state, &self.service);
        self.health.update(self.slots.hosts());
        self.urgency = has_urgency(state);
    }

    /// Goes on filling data centres that have lately returned.
    pub fn fill(&mut self, state: &Rc<State>, clock: u64) {
        self.slots.set_clock(clock);
        self.slots.update(state, &self.service);
    }

    /// Queues a request, or refuses it at once; a repeated question gets the same answer.
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
        if self.slots.holds(&ask.attempt) {
            let grant = self.slots.grant_of(&ask.attempt).map(Message::Grant);
            out.extend(grant.map(|grant| Action::Send(link, grant)));
            return;
        }
        if ask.urgent {
            self.drain.ask_urgent(now);
        }
        let forecast = self.forecast(&ask.team, ask.urgent, quotas);
        if let Some(code) = self.refusal(now, &ask, forecast) {
            out.push(self.refuse(now, link, &ask, code, forecast));
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
        self.drain.finish(now, held.since);
        let drain = self.drains.entry(held.team.clone()).or_default();
        drain.finish(now, held.since);
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
    pub fn report(&mut self, now: Instant, gate: &Peer, link: LinkId, running: &[Running]) {
        self.slots.confirm(gate, link, running);
        for run in running.iter().filter(|run| run.service == self.service) {
            self.slots.adopt(now, gate, run);
        }
    }

    /// Drops the requests of a lost link; the slots of its gate stay occupied.
    pub fn lose(&mut self, link: LinkId) {
        self.queue.remove_link(link);
    }

    /// Frees the slots of a gate whose tasks are surely over.
    pub fn release_gate(&mut self, gate: &Peer) {
        self.slots.release_gate(gate);
    }

    /// Refuses what can no longer start in time.
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

    /// Grants a slot if one is free and something may start; false if not.
    pub fn grant(
        &mut self,
        now: Instant,
        state: &State,
        roster: &Roster,
        quotas: &mut Quotas,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.queue.is_empty() || self.slots.vacant() == 0 {
            return false;
        }
        if now < self.opens && !roster.is_complete(state, self.since) {
            return false;
        }
        let reserve = self.reserve(now);
        let granted = self.grant_one(now, reserve, roster, quotas);
        let any = granted.is_some();
        out.extend(granted);
        any
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Load of the service.
    #[must_use]
    pub fn load(&self) -> ServiceLoad {
        ServiceLoad {
            service: self.service.clone(),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            running: self.slots.in_use_everywhere(),
            capacity: self.slots.capacity(),
            busy: self.slots.busy(),
        }
    }

    /// Refuses everything that waits, because another process serves the service now, and gives
    /// what still runs.
    pub fn close(mut self, out: &mut Vec<Action>) -> Slots {
        let left = self.queue.remove_all();
        out.extend(
            left.into_iter()
                .map(|w| refuse(w.link, w.attempt, RefusalCode::Unavailable, RETRY_MS)),
        );
        self.slots
    }

    /// The slots.
    #[must_use]
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Slots that a team could occupy beside those that it does: the free ones, or the rest of its
    /// share if that is more. `total` is the weight of all teams that have requests here.
    #[must_use]
    pub fn wanted(&self, team: &TeamName, weight: u32, total: u64) -> u32 {
        let waiting = u32::try_from(self.queue.len_of(team)).unwrap_or(u32::MAX);
        if waiting == 0 {
            return 0;
        }
        let running = self.slots.running(team);
        let share = u64::from(self.slots.capacity()) * u64::from(weight);
        let share = u32::try_from(share.div_ceil(total.max(1))).unwrap_or(u32::MAX);
        let room = self.slots.vacant().max(share.saturating_sub(running));
        waiting.min(room + 1 + running / WANT_PART)
    }

    /// Weight of all teams that have requests waiting or running.
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
        roster: &Roster,
        quotas: &mut Quotas,
    ) -> Option<Action> {
        let first = self.slots.urgent() < urgent_cap(self.slots.capacity());
        let rest = self.slots.vacant() > reserve;
        let rank = |team: &TeamName, urgent| {
            let quota = quotas.get(team).filter(|quota| quota.may_start(urgent))?;
            let open = if urgent { first } else { rest };
            open.then(|| f64::from(self.slots.running(team)) / f64::from(quota.weight))
        };
        let waiting = self.queue.next(rank)?;
        let admits = |host: &HostName, running| self.health.may_assign(now, host, running);
        let (host, placed) = self.slots.pick(&waiting.avoid, admits)?;
        let (host, addr) = (host.clone(), placed.addr);
        let attempt = waiting.attempt;
        let gate = roster.gate(waiting.link)?.clone();
        let waiting = self.queue.remove(&attempt)?;
        if let Some(quota) = quotas.get_mut(&waiting.team) {
            quota.running += 1;
        }
        let held = Held {
            host: host.clone(),
            team: waiting.team,
            urgent: waiting.urgent,
            gate,
            granted: Some(waiting.link),
            since: now,
        };
        self.slots.occupy(attempt, held);
        let grant = Grant {
            attempt,
            host,
            addr,
        };
        Some(Action::Send(waiting.link, Message::Grant(grant)))
    }
}

/// What a request has to expect, in seconds.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    /// Until a slot is free for it.
    wait: f64,
    /// Mean run time.
    run: f64,
    /// Between two starts of its team.
    every: f64,
    /// Finishes a second.
    rate: f64,
}

fn has_urgency(state: &State) -> bool {
    state.teams.values().any(|row| row.urgent)
}

fn refuse(link: LinkId, attempt: AttemptId, code: RefusalCode, after: u32) -> Action {
    let refusal = Refusal {
        attempt,
        code,
        retry_after: after,
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
