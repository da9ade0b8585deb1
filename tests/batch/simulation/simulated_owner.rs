//! An owner in the simulation, with its connections and pending answers.

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

use crate::fake_executor::FakeExecutor;
use crate::simulation::ROUND_TRIP_MS;
use crate::simulation::actions::ORDER_TIMEOUT_MS;

/// Time after which the election notifies a superseded owner, in milliseconds.
const NOTIFY_MS: u64 = 300;

/// State of an owner when another one is elected.
#[derive(Debug, Clone, Copy)]
pub enum OwnerFault {
    /// It reaches executors, but neither the log nor the election.
    CutOff,
    /// It is fully connected and learns of its successor from its next append or renewal.
    Unnotified,
    /// It is paused for so many milliseconds, then reaches neither the log nor the election.
    Paused(u64),
}

/// A heartbeat that an executor answers once a run ends, or at `until`.
struct LongPoll {
    order: Heartbeat,
    /// Start of the process that was asked; it alone can answer.
    born: Option<u64>,
    sent: Instant,
    until: Instant,
}

/// A dispatcher and its environment.
pub struct SimulatedOwner {
    pub dispatcher: Dispatcher,
    /// Executors that do not receive its orders.
    pub unreachable: BTreeSet<ExecutorId>,
    /// It reaches neither the log nor the election.
    pub store_down: bool,
    /// It has given up its term.
    pub stepped_down: bool,
    // When it learns that another owner was elected.
    notify_at: Option<Instant>,
    superseded: bool,
    paused_until: Option<Instant>,
    pending_events: Vec<(Instant, Event)>,
    pending_appends: Vec<(u64, Vec<Record>)>,
    long_polls: Vec<LongPoll>,
    /// Time until it learns that the log has taken its records, in milliseconds.
    pub append_ms: u64,
    /// Time until the answer to a heartbeat arrives, in milliseconds.
    pub answer_ms: u64,
}

impl SimulatedOwner {
    pub fn new(dispatcher: Dispatcher) -> Self {
        Self {
            dispatcher,
            unreachable: BTreeSet::new(),
            store_down: false,
            stepped_down: false,
            notify_at: None,
            superseded: false,
            paused_until: None,
            pending_events: Vec::new(),
            pending_appends: Vec::new(),
            long_polls: Vec::new(),
            append_ms: ROUND_TRIP_MS,
            answer_ms: ROUND_TRIP_MS,
        }
    }

    /// Records that another owner was elected.
    pub fn supersede(&mut self, now: Instant, fault: OwnerFault) {
        self.superseded = true;
        match fault {
            OwnerFault::CutOff => self.store_down = true,
            OwnerFault::Unnotified => self.notify_at = Some(now + Duration::from_millis(NOTIFY_MS)),
            OwnerFault::Paused(ms) => {
                self.store_down = true;
                self.paused_until = Some(now + Duration::from_millis(ms));
            }
        }
    }

    /// Whether it is neither paused nor stepped down.
    pub fn is_running(&mut self, now: Instant) -> bool {
        self.stepped_down |= self.notify_at.is_some_and(|at| at <= now);
        !self.stepped_down && self.paused_until.is_none_or(|until| until <= now)
    }

    /// Confirms its term, if it reaches the election and no other owner was elected.
    pub fn confirm_term(&mut self, now: Instant) {
        if !self.store_down && !self.superseded {
            self.dispatcher.confirm(now);
        }
    }

    /// Delivers an event to it in `ms` milliseconds.
    pub fn schedule(&mut self, now: Instant, ms: u64, event: Event) {
        self.pending_events
            .push((now + Duration::from_millis(ms), event));
    }

    /// Removes and returns the events due by `now`.
    pub fn take_due_events(&mut self, now: Instant) -> Vec<Event> {
        let pending_events = std::mem::take(&mut self.pending_events);
        let (due, rest): (Vec<_>, Vec<_>) =
            pending_events.into_iter().partition(|(at, _)| *at <= now);
        self.pending_events = rest;
        due.into_iter().map(|(_, event)| event).collect()
    }

    /// Appends records; returns them if the log accepts them now.
    pub fn append(
        &mut self,
        now: Instant,
        append_id: u64,
        records: Vec<Record>,
    ) -> Option<Vec<Record>> {
        if self.store_down {
            self.pending_appends.push((append_id, records));
            return None;
        }
        if self.superseded {
            let refused = now + Duration::from_millis(ROUND_TRIP_MS);
            self.notify_at = Some(self.notify_at.map_or(refused, |at| at.min(refused)));
            return None;
        }
        self.schedule(now, self.append_ms, Event::Appended(append_id));
        Some(records)
    }

    /// Makes the store reachable again; returns the pending records, which are now appended.
    pub fn restore_store(&mut self, now: Instant) -> Vec<Record> {
        self.store_down = false;
        let mut appended = Vec::new();
        for (append_id, records) in std::mem::take(&mut self.pending_appends) {
            appended.extend(records);
            self.schedule(now, ROUND_TRIP_MS, Event::Appended(append_id));
        }
        appended
    }

    /// Delivers the answer to a heartbeat; an executor without ended runs answers later if the
    /// order allows it to wait.
    pub fn answer_heartbeat(
        &mut self,
        now: Instant,
        order: Heartbeat,
        result: Result<Report, OrderError>,
    ) {
        if let Ok(report) = &result
            && report.ended.is_empty()
            && order.wait > 0
        {
            return self.long_polls.push(LongPoll {
                until: now + Duration::from_millis(order.wait),
                order,
                born: report.born,
                sent: now,
            });
        }
        self.schedule_answer(now, order, now, result);
    }

    fn schedule_answer(
        &mut self,
        now: Instant,
        order: Heartbeat,
        sent: Instant,
        result: Result<Report, OrderError>,
    ) {
        let delay = if result == Err(OrderError::Silent) {
            ORDER_TIMEOUT_MS
        } else {
            self.answer_ms
        };
        let event = Event::HeartbeatAnswered {
            order,
            sent,
            result,
        };
        self.schedule(now, delay, event);
    }

    /// Answers pending heartbeats of executors on which a run has ended or the wait is over.
    pub fn answer_long_polls(&mut self, now: Instant, fakes: &BTreeMap<ExecutorId, FakeExecutor>) {
        for poll in std::mem::take(&mut self.long_polls) {
            let id = &poll.order.target.executor;
            let ended = fakes[id].down || poll.born != Some(fakes[id].born);
            let silent = ended || self.unreachable.contains(id);
            let ready = !fakes[id].unacked_ends.is_empty() || poll.until <= now;
            let result = match (silent, ready) {
                (false, false) => {
                    self.long_polls.push(poll);
                    continue;
                }
                (true, _) => Err(OrderError::Silent),
                (false, true) => Ok(fakes[id].report(now)),
            };
            self.schedule_answer(now, poll.order, poll.sent, result);
        }
    }
}
