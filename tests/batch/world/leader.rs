//! An owner in the world, and what it can reach.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::Dispatcher;
use mimosastep::batch::Event;
use mimosastep::batch::Heartbeat;
use mimosastep::batch::OrderError;
use mimosastep::batch::Record;
use mimosastep::batch::Report;
use mimosastep::name::ExecutorId;

use crate::fake::Fake;
use crate::world::TRIP_MS;
use crate::world::carrying_out::SILENCE_MS;

/// Time after which the election tells an owner that it is another, in milliseconds.
const RENEW_MS: u64 = 300;

/// What becomes of an owner when another one is elected.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    /// It reaches neither the log nor the election any more, but executors.
    Cut,
    /// It reaches all; its next append or renewal tells it.
    Unaware,
    /// It is paused for so many milliseconds, and is cut off from the log and the election then.
    Paused(u64),
}

/// An order whose answer waits for an end.
struct Poll {
    order: Heartbeat,
    sent: Instant,
    until: Instant,
}

/// An owner.
pub struct Leader {
    pub dispatcher: Dispatcher,
    /// Executors that neither get its orders nor answer it.
    pub cut: BTreeSet<ExecutorId>,
    /// The log takes nothing of it.
    pub dark: bool,
    /// It has given up.
    pub abdicated: bool,
    // Another one was elected, of which it learns then.
    told: Option<Instant>,
    superseded: bool,
    paused: Option<Instant>,
    events: Vec<(Instant, Event)>,
    unwritten: Vec<(u64, Vec<Record>)>,
    polls: Vec<Poll>,
}

impl Leader {
    pub fn new(dispatcher: Dispatcher) -> Self {
        Self {
            dispatcher,
            cut: BTreeSet::new(),
            dark: false,
            abdicated: false,
            told: None,
            superseded: false,
            paused: None,
            events: Vec::new(),
            unwritten: Vec::new(),
            polls: Vec::new(),
        }
    }

    /// Another owner is elected.
    pub fn lose(&mut self, now: Instant, fate: Fate) {
        self.superseded = true;
        match fate {
            Fate::Cut => self.dark = true,
            Fate::Unaware => self.told = Some(now + Duration::from_millis(RENEW_MS)),
            Fate::Paused(ms) => {
                self.dark = true;
                self.paused = Some(now + Duration::from_millis(ms));
            }
        }
    }

    /// Whether it acts.
    pub fn is_awake(&mut self, now: Instant) -> bool {
        self.abdicated |= self.told.is_some_and(|at| at <= now);
        !self.abdicated && self.paused.is_none_or(|until| until <= now)
    }

    /// The election confirms it, if it reaches the election and nobody else was elected.
    pub fn renew(&mut self, now: Instant) {
        if !self.dark && !self.superseded {
            self.dispatcher.confirm(now);
        }
    }

    pub fn later(&mut self, now: Instant, ms: u64, event: Event) {
        self.events.push((now + Duration::from_millis(ms), event));
    }

    /// Takes out what it learns by now.
    pub fn due(&mut self, now: Instant) -> Vec<Event> {
        let events = std::mem::take(&mut self.events);
        let (due, rest): (Vec<_>, Vec<_>) = events.into_iter().partition(|(at, _)| *at <= now);
        self.events = rest;
        due.into_iter().map(|(_, event)| event).collect()
    }

    /// Has records appended; gives them back if the log takes them.
    pub fn append(
        &mut self,
        now: Instant,
        append_id: u64,
        records: Vec<Record>,
    ) -> Option<Vec<Record>> {
        if self.dark {
            self.unwritten.push((append_id, records));
            return None;
        }
        if self.superseded {
            let refused = now + Duration::from_millis(TRIP_MS);
            self.told = Some(self.told.map_or(refused, |at| at.min(refused)));
            return None;
        }
        self.later(now, TRIP_MS, Event::Appended(append_id));
        Some(records)
    }

    /// The log takes again what it did not; gives these records.
    pub fn light(&mut self, now: Instant) -> Vec<Record> {
        self.dark = false;
        let mut taken = Vec::new();
        for (append_id, records) in std::mem::take(&mut self.unwritten) {
            taken.extend(records);
            self.later(now, TRIP_MS, Event::Appended(append_id));
        }
        taken
    }

    /// An executor has got an order; one that has nothing to tell answers later.
    pub fn held(&mut self, now: Instant, order: Heartbeat, result: Result<Report, OrderError>) {
        let waits = |report: &Report| report.ended.is_empty() && order.wait > 0;
        if result.as_ref().is_ok_and(waits) {
            let until = now + Duration::from_millis(order.wait);
            let sent = now;
            return self.polls.push(Poll { order, sent, until });
        }
        self.tell_held(now, order, now, result);
    }

    fn tell_held(
        &mut self,
        now: Instant,
        order: Heartbeat,
        sent: Instant,
        result: Result<Report, OrderError>,
    ) {
        let trip = if result == Err(OrderError::Silent) {
            SILENCE_MS
        } else {
            TRIP_MS
        };
        let event = Event::HeartbeatAnswered {
            order,
            sent,
            result,
        };
        self.later(now, trip, event);
    }

    /// Executors answer that have an end to tell, or have waited for long enough.
    pub fn answer_polls(&mut self, now: Instant, fakes: &BTreeMap<ExecutorId, Fake>) {
        for poll in std::mem::take(&mut self.polls) {
            let id = &poll.order.target.executor;
            let silent = self.cut.contains(id) || fakes[id].down;
            let ready = !fakes[id].ends.is_empty() || poll.until <= now;
            let result = match (silent, ready) {
                (false, false) => {
                    self.polls.push(poll);
                    continue;
                }
                (true, _) => Err(OrderError::Silent),
                (false, true) => Ok(fakes[id].report(now)),
            };
            self.tell_held(now, poll.order, poll.sent, result);
        }
    }
}
