//! Overload control: forecasts waiting times and refuses requests that would miss their deadline.

use std::time::Instant;

use crate::name::TeamName;
use crate::net::LinkId;
use crate::sched::Action;
use crate::sched::dispatcher::DEADLINE_FACTOR;
use crate::sched::dispatcher::Dispatcher;
use crate::sched::dispatcher::Forecast;
use crate::sched::dispatcher::QUEUE_LIMIT;
use crate::sched::dispatcher::QUEUE_PER_SLOT;
use crate::sched::dispatcher::RETRY_MS;
use crate::sched::dispatcher::refuse;
use crate::sched::quota::Quotas;
use crate::sched::reserve::reserve;
use crate::sched::reserve::urgent_cap;
use crate::sched::throughput::Throughput;
use crate::wire::RefusalCode;
use crate::wire::SlotRequest;

impl Dispatcher {
    /// Updates the throughput of the service and of each team with queued requests, and forgets
    /// teams without requests.
    pub(super) fn observe(&mut self, now: Instant) {
        self.throughput.observe(now, !self.queue.is_empty());
        for (team, _) in self.queue.teams() {
            if !self.team_throughput.contains_key(team) {
                self.team_throughput
                    .insert(team.clone(), Throughput::default());
            }
        }
        let (queue, slots) = (&self.queue, &self.slots);
        self.team_throughput.retain(|team, throughput| {
            let waiting = queue.len_of(team) > 0;
            throughput.observe(now, waiting);
            waiting || slots.running(team) > 0
        });
    }

    /// Number of slots kept free for urgent requests; 0 if no team may send any.
    pub(super) fn reserve(&self, now: Instant) -> u32 {
        if !self.any_urgent {
            return 0;
        }
        let rate = self.throughput.urgent_rate(now);
        reserve(
            self.slots.capacity(),
            self.throughput.longest_gap(now),
            rate,
        )
    }

    /// Predicts the course of one more request; none while the throughput is unknown. The start
    /// rate of a team is its measured throughput, or else its weighted share among the teams with
    /// queued requests.
    pub(super) fn forecast(
        &self,
        team: &TeamName,
        urgent: bool,
        quotas: &Quotas,
    ) -> Option<Forecast> {
        let capacity = self.slots.capacity();
        let (rate, run_time) = (self.throughput.rate(capacity)?, self.throughput.run_time()?);
        let weight = |team: &TeamName| quotas.get(team).map_or(1.0, |q| f64::from(q.weight));
        let others = self.queue.teams().filter(|(other, _)| *other != team);
        let total: f64 = others.map(|(other, _)| weight(other)).sum();
        let share = rate * weight(team) / (weight(team) + total);
        let measured = self
            .team_throughput
            .get(team)
            .and_then(Throughput::measured_rate);
        let start_rate = measured.unwrap_or(share);
        let ahead = self.queue.len_of(team) as f64 + 1.0;
        let free = self.slots.vacant() > 0 && self.queue.is_empty();
        let mut wait = if free { 0.0 } else { ahead / start_rate };
        if urgent {
            let urgent_part = f64::from(urgent_cap(capacity)) / f64::from(capacity.max(1));
            wait = wait.min((self.queue.urgent_len() as f64 + 1.0) / (rate * urgent_part));
        }
        let interval = 1.0 / start_rate;
        Some(Forecast {
            wait,
            run_time,
            interval,
            rate,
        })
    }

    /// Why to refuse a request now; none if it may be queued.
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
                && (forecast.wait + forecast.run_time) * DEADLINE_FACTOR
                    > f64::from(ask.remaining) / 1e3
        });
        (late || waiting >= QUEUE_LIMIT).then_some(RefusalCode::Overloaded)
    }

    /// Refuses a request with a retry delay from the forecast, and counts the refusal.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        link: LinkId,
        ask: &SlotRequest,
        code: RefusalCode,
        forecast: Option<Forecast>,
    ) -> Action {
        let (waiting, capacity) = (self.queue.len(), self.slots.capacity());
        self.refusals.record(&ask.team, code, || {
            let (wait, rate) = forecast.map_or((0.0, 0.0), |f| (f.wait, f.rate));
            format!("{waiting} wait for {capacity} slots, {rate:.1}/s drain, {wait:.1} s to wait")
        });
        let retry_after = match forecast {
            Some(forecast) if code == RefusalCode::Overloaded => {
                self.refusals
                    .retry_after(now, &ask.team, forecast.wait, forecast.interval)
            }
            _ => RETRY_MS,
        };
        refuse(link, ask.attempt, code, retry_after)
    }
}
