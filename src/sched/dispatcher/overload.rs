//! What a request has to expect, and who is refused.

use std::time::Instant;

use crate::name::TeamName;
use crate::net::LinkId;
use crate::sched::Action;
use crate::sched::dispatcher::Dispatcher;
use crate::sched::dispatcher::Forecast;
use crate::sched::dispatcher::MARGIN;
use crate::sched::dispatcher::QUEUE_LIMIT;
use crate::sched::dispatcher::QUEUE_PER_SLOT;
use crate::sched::dispatcher::RETRY_MS;
use crate::sched::dispatcher::refuse;
use crate::sched::drain::Drain;
use crate::sched::quota::Quotas;
use crate::sched::reserve::reserve;
use crate::sched::reserve::urgent_cap;
use crate::wire::RefusalCode;
use crate::wire::SlotRequest;

impl Dispatcher {
    /// Measures the drain rates.
    pub(super) fn observe(&mut self, now: Instant) {
        self.drain.observe(now, !self.queue.is_empty());
        for (team, _) in self.queue.teams() {
            if !self.drains.contains_key(team) {
                self.drains.insert(team.clone(), Drain::default());
            }
        }
        let (queue, slots) = (&self.queue, &self.slots);
        self.drains.retain(|team, drain| {
            let waiting = queue.len_of(team) > 0;
            drain.observe(now, waiting);
            waiting || slots.running(team) > 0
        });
    }

    /// Slots kept free for urgent requests.
    pub(super) fn reserve(&self, now: Instant) -> u32 {
        if !self.urgency {
            return 0;
        }
        let rate = self.drain.urgent_rate(now);
        reserve(self.slots.capacity(), self.drain.gap(now), rate)
    }

    /// What a further request has to expect, if the drain rate is known. A team's requests start
    /// as fast as they were seen to, or as its share among the teams that wait allows.
    pub(super) fn forecast(
        &self,
        team: &TeamName,
        urgent: bool,
        quotas: &Quotas,
    ) -> Option<Forecast> {
        let capacity = self.slots.capacity();
        let (rate, run) = (self.drain.rate(capacity)?, self.drain.run()?);
        let weight = |team: &TeamName| quotas.get(team).map_or(1.0, |q| f64::from(q.weight));
        let others = self.queue.teams().filter(|(other, _)| *other != team);
        let total: f64 = others.map(|(other, _)| weight(other)).sum();
        let share = rate * weight(team) / (weight(team) + total);
        let seen = self.drains.get(team).and_then(Drain::seen);
        let own = seen.unwrap_or(share);
        let ahead = self.queue.len_of(team) as f64 + 1.0;
        let free = self.slots.vacant() > 0 && self.queue.is_empty();
        let mut wait = if free { 0.0 } else { ahead / own };
        if urgent {
            let part = f64::from(urgent_cap(capacity)) / f64::from(capacity.max(1));
            wait = wait.min((self.queue.urgent_len() as f64 + 1.0) / (rate * part));
        }
        let every = 1.0 / own;
        Some(Forecast {
            wait,
            run,
            every,
            rate,
        })
    }

    pub(super) fn refusal(
        &self,
        now: Instant,
        ask: &SlotRequest,
        forecast: Option<Forecast>,
    ) -> Option<RefusalCode> {
        let capacity = self.slots.capacity() as usize;
        if capacity == 0 {
            return Some(RefusalCode::NoCapacity);
        }
        if self.health.is_at_fault(now, ask.attempt.request) {
            return Some(RefusalCode::JobFailing);
        }
        if ask.remaining == 0 {
            return Some(RefusalCode::DeadlineTooClose);
        }
        let waiting = self.queue.len();
        let late = forecast.map_or(waiting >= capacity * QUEUE_PER_SLOT, |forecast| {
            forecast.wait > 0.0
                && (forecast.wait + forecast.run) * MARGIN > f64::from(ask.remaining) / 1e3
        });
        (late || waiting >= QUEUE_LIMIT).then_some(RefusalCode::Overloaded)
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        link: LinkId,
        ask: &SlotRequest,
        code: RefusalCode,
        forecast: Option<Forecast>,
    ) -> Action {
        let (waiting, capacity) = (self.queue.len(), self.slots.capacity());
        self.refusals.note(&ask.team, code, || {
            let (wait, rate) = forecast.map_or((0.0, 0.0), |f| (f.wait, f.rate));
            format!("{waiting} wait for {capacity} slots, {rate:.1}/s drain, {wait:.1} s to wait")
        });
        let after = match forecast {
            Some(forecast) if code == RefusalCode::Overloaded => {
                self.refusals
                    .promise(now, &ask.team, forecast.wait, forecast.every)
            }
            _ => RETRY_MS,
        };
        refuse(link, ask.attempt, code, after)
    }
}
