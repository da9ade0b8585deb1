//! Carries out the actions of an owner.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::Action;
use mimosastep::batch::Advice;
use mimosastep::batch::Event;
use mimosastep::batch::OrderError;
use mimosastep::batch::Record;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Start;
use mimosastep::batch::Step;
use mimosastep::batch::Target;
use mimosastep::name::ExecutorId;

use crate::fake_executor::FakeExecutor;
use crate::simulation::ROUND_TRIP_MS;
use crate::simulation::Simulation;
use crate::simulation::simulated_owner::SimulatedOwner;

/// Time after which an unanswered order fails, in milliseconds.
pub const ORDER_TIMEOUT_MS: u64 = 800;
/// Most executors that a request to the advice service may name.
const ADVICE_LIMIT: usize = 100;
/// Time until the advice service answers, in milliseconds.
const ADVICE_MS: u64 = 50;
/// Port at which an executor that is in no list takes orders.
pub const OTHER_PORT: u16 = 2;
/// Duration of a run on an executor that fails all runs, in milliseconds.
const FAILURE_MS: u64 = 20;

impl Simulation {
    pub(super) fn execute(&mut self, owner: &mut SimulatedOwner, action: Action) {
        let now = self.now.at;
        match action {
            Action::Append { append_id, records } => {
                if let Some(records) = owner.append(now, append_id, records) {
                    self.records.extend(records);
                }
            }
            Action::Heartbeat(order) => {
                let fake = self.reachable_executor(owner, &order.target);
                let result = fake.and_then(|fake| fake.heartbeat(now, &order));
                owner.answer_heartbeat(now, order, result);
            }
            Action::Start(order) => self.start(owner, order),
            Action::Stop(order) => {
                let result = self
                    .reachable_executor(owner, &order.target)
                    .and_then(|fake| fake.stop(now, &order));
                if self.lost_stops > 0 && result.is_ok() {
                    self.lost_stops -= 1;
                    let result = Err(OrderError::Silent);
                    return owner.schedule(now, 20, Event::Stopped { order, result });
                }
                owner.schedule(now, ROUND_TRIP_MS, Event::Stopped { order, result });
            }
            Action::Consult(question) => {
                self.consultations += 1;
                assert!(question.executors.len() <= ADVICE_LIMIT);
                let permitted = question.executors.iter();
                let permitted = permitted.filter(|id| (self.permits)(&question.step, id));
                let advice = Advice {
                    tickets: permitted
                        .map(|id| (id.clone(), Arc::from("ticket")))
                        .collect(),
                    validity: 1_000,
                };
                let result = if self.advice_down {
                    Err(OrderError::Busy)
                } else {
                    Ok(advice)
                };
                owner.schedule(now, ADVICE_MS, Event::Advised { question, result });
            }
            Action::Pace(order) => {
                self.pace_orders.push((order.task, order.percent));
                let tail_latency = (self.tail_latency)(order.percent);
                if let Some(fake) = self.fakes.get_mut(&order.target.executor) {
                    fake.tail_latency = tail_latency;
                }
                owner.schedule(
                    now,
                    ROUND_TRIP_MS,
                    Event::Paced {
                        order,
                        result: Ok(()),
                    },
                );
            }
            Action::Maintain(order) => {
                let known = self.hosts.contains_key(&order.host);
                let mut result = if known { Ok(()) } else { Err(OrderError::Gone) };
                // An order that is repeated finds the host away or maintained.
                if self.is_away(&order.host) {
                    result = Err(OrderError::Away);
                } else if known && self.maintained_in.insert((order.wave, order.host.clone())) {
                    self.maintained.push(order.host.clone());
                    self.take_down(&order.host.clone(), None);
                }
                let delay = self.lose_host_answer(&mut result);
                owner.schedule(now, delay, Event::Maintained { order, result });
            }
            Action::Transfer(order) => {
                self.moves += 1;
                let mut result = Ok(());
                // An order that is repeated finds the host away or moved.
                if self.is_away(&order.host) {
                    result = Err(OrderError::Away);
                } else if self.pool_of(&order.host) != Some(&order.pool) {
                    self.take_down(&order.host.clone(), Some(order.pool.clone()));
                }
                let delay = self.lose_host_answer(&mut result);
                owner.schedule(now, delay, Event::Transferred { order, result });
            }
            Action::Report { wave, state } => {
                self.wave_states.insert(wave, state);
                let stored = true;
                owner.schedule(
                    now,
                    ROUND_TRIP_MS,
                    Event::Reported {
                        wave,
                        state,
                        stored,
                    },
                );
            }
            Action::StepDown => owner.stepped_down = true,
        }
    }

    /// Replaces the answer to an order for a host if answers are lost; returns the time until it
    /// arrives, in milliseconds.
    fn lose_host_answer(&self, result: &mut Result<(), OrderError>) -> u64 {
        if !self.answers_lost {
            return ROUND_TRIP_MS;
        }
        *result = Err(OrderError::Silent);
        ORDER_TIMEOUT_MS
    }

    /// An executor; [`OrderError::Silent`] if the owner doesn't reach it or it is down, and
    /// [`OrderError::Reborn`] if another one takes orders at that address.
    fn reachable_executor(
        &mut self,
        owner: &SimulatedOwner,
        target: &Target,
    ) -> Result<&mut FakeExecutor, OrderError> {
        if owner.unreachable.contains(&target.executor) {
            return Err(OrderError::Silent);
        }
        if target.addr.port() == OTHER_PORT {
            return Err(OrderError::Reborn);
        }
        let fake = self.fakes.get_mut(&target.executor);
        let fake = fake.ok_or(OrderError::Silent)?;
        if fake.down || fake.addr != target.addr {
            return Err(OrderError::Silent);
        }
        Ok(fake)
    }

    /// Carries out the start orders that arrive late, on whichever process takes orders there now.
    pub(super) fn deliver_late_starts(&mut self) {
        let now = self.now.at;
        let orders = std::mem::take(&mut self.late_orders);
        let (due, rest): (Vec<_>, Vec<_>) = orders.into_iter().partition(|(at, _)| *at <= now);
        self.late_orders = rest;
        for (_, order) in due {
            let (step, planned_end) = self.plan_run(&order);
            let Some(fake) = self.fakes.get_mut(&order.target.executor) else {
                continue;
            };
            let started = fake.start(now, &order, step.reserved(), planned_end);
            if started.is_ok() {
                self.starts
                    .push((now, order.task, order.run, order.target.executor));
            }
        }
    }

    /// Sends the start orders that have waited long enough.
    pub(super) fn send_queued_starts(&mut self, owner: &mut SimulatedOwner) {
        let now = self.now.at;
        let orders = std::mem::take(&mut self.queued_orders);
        let (due, rest): (Vec<_>, Vec<_>) = orders.into_iter().partition(|(at, _)| *at <= now);
        self.queued_orders = rest;
        for (_, order) in due {
            self.send_start(owner, order);
        }
    }

    /// The executor at which the first of the delayed start orders will arrive.
    pub fn late_target(&self) -> Option<ExecutorId> {
        let order = self.late_orders.iter().chain(&self.queued_orders).next();
        order.map(|(_, order)| order.target.executor.clone())
    }

    /// The step of a task that is to start, and when and how its run will end.
    fn plan_run(&self, order: &Start) -> (Step, Option<(Instant, RunOutcome)>) {
        let job = self.records.iter().find_map(|record| match record {
            Record::Accepted(job) if job.id == order.task.job => Some(job.clone()),
            _ => None,
        });
        let step = job.expect("job is not in the log").steps[order.task.step as usize].clone();
        let (ms, outcome) = if self.failing.contains(&order.target.executor) {
            (FAILURE_MS, RunOutcome::Failed)
        } else {
            (self.script)(&order.task, order.run)
        };
        let end = self.now.at + Duration::from_millis(ms);
        let planned_end = (!step.long_running).then_some((end, outcome));
        (step, planned_end)
    }

    fn start(&mut self, owner: &mut SimulatedOwner, order: Start) {
        let now = self.now.at;
        if let Some(ms) = self.late_starts {
            let at = now + Duration::from_millis(ms);
            self.late_orders.push((at, order.clone()));
            let result = Err(OrderError::Silent);
            return owner.schedule(now, ORDER_TIMEOUT_MS, Event::Started { order, result });
        }
        if let Some(ms) = self.queued_starts {
            let at = now + Duration::from_millis(ms);
            return self.queued_orders.push((at, order));
        }
        self.send_start(owner, order);
    }

    fn send_start(&mut self, owner: &mut SimulatedOwner, order: Start) {
        let now = self.now.at;
        let id = order.target.executor.clone();
        let (step, planned_end) = self.plan_run(&order);
        let unadvised = self.needs_ticket && order.ticket.is_none();
        let result = self
            .reachable_executor(owner, &order.target)
            .and_then(|fake| {
                if unadvised {
                    return Err(OrderError::Unadvised);
                }
                fake.start(now, &order, step.reserved(), planned_end)
            });
        if result.is_ok() {
            let step = order.task.of_step();
            assert!(
                order.ticket.is_none() || (self.permits)(&step, &id),
                "{} has a ticket for {id}, where it may not run",
                order.task
            );
            self.starts.push((now, order.task, order.run, id));
            let lost = |fake: &FakeExecutor| fake.has_lost_end(now, &order.task);
            if self.fakes.values().any(lost) {
                self.done.remove(&order.task);
            }
            assert!(
                !self.done.contains(&order.task),
                "{} was started again after it had completed",
                order.task
            );
        }
        if self.lost_starts > 0 && result.is_ok() {
            self.lost_starts -= 1;
            let result = Err(OrderError::Silent);
            return owner.schedule(now, 500, Event::Started { order, result });
        }
        let delay = if result == Err(OrderError::Silent) {
            ORDER_TIMEOUT_MS
        } else {
            (self.start_time)(&order)
        };
        owner.schedule(now, delay, Event::Started { order, result });
    }
}
