//! What becomes of the owner's orders.

use std::sync::Arc;
use std::time::Duration;

use mimosastep::batch::Action;
use mimosastep::batch::Advice;
use mimosastep::batch::Event;
use mimosastep::batch::OrderError;
use mimosastep::batch::Record;
use mimosastep::batch::Start;
use mimosastep::name::ExecutorId;

use crate::fake::Fake;
use crate::world::TRIP_MS;
use crate::world::World;
use crate::world::leader::Leader;

/// Time after which an order without an answer is given up, in milliseconds.
pub const SILENCE_MS: u64 = 800;

impl World {
    pub(super) fn act(&mut self, leader: &mut Leader, action: Action) {
        let now = self.now.at;
        match action {
            Action::Append { append_id, records } => {
                if let Some(records) = leader.append(now, append_id, records) {
                    self.records.extend(records);
                }
            }
            Action::Heartbeat(order) => {
                let id = &order.target.executor;
                let fake = self.reach(leader, id);
                let result = fake.and_then(|fake| fake.heartbeat(now, &order));
                leader.held(now, order, result);
            }
            Action::Start(order) => self.start(leader, order),
            Action::Stop(order) => {
                let id = &order.target.executor;
                let result = self
                    .reach(leader, id)
                    .and_then(|fake| fake.stop(now, &order));
                if self.lost_stops > 0 && result.is_ok() {
                    self.lost_stops -= 1;
                    let result = Err(OrderError::Silent);
                    return leader.later(now, 20, Event::Stopped { order, result });
                }
                leader.later(now, TRIP_MS, Event::Stopped { order, result });
            }
            Action::Consult(question) => {
                self.consulted += 1;
                let tickets = question.executors.iter().skip(1);
                let tickets = tickets
                    .map(|id| (id.clone(), Arc::from("ticket")))
                    .collect();
                let result = Ok(Advice {
                    tickets,
                    validity: 1_000,
                });
                leader.later(now, 50, Event::Advised { question, result });
            }
            Action::Pace(order) => {
                self.paces.push((order.task, order.percent));
                let tail = (self.tail)(order.percent);
                if let Some(fake) = self.fakes.get_mut(&order.target.executor) {
                    fake.tail = tail;
                }
                leader.later(
                    now,
                    TRIP_MS,
                    Event::Paced {
                        order,
                        result: Ok(()),
                    },
                );
            }
            Action::Maintain(order) => {
                let known = self.machines.contains_key(&order.host);
                let result = if known { Ok(()) } else { Err(OrderError::Gone) };
                if known {
                    self.downs.push(order.host.clone());
                    self.take_away(&order.host.clone(), None);
                }
                leader.later(now, TRIP_MS, Event::Maintained { order, result });
            }
            Action::Transfer(order) => {
                self.moves += 1;
                self.take_away(&order.host.clone(), Some(order.pool.clone()));
                leader.later(
                    now,
                    TRIP_MS,
                    Event::Transferred {
                        order,
                        result: Ok(()),
                    },
                );
            }
            Action::Report { wave, state } => {
                self.told.insert(wave, state);
                let stored = true;
                leader.later(
                    now,
                    TRIP_MS,
                    Event::Reported {
                        wave,
                        state,
                        stored,
                    },
                );
            }
            Action::StepDown => leader.abdicated = true,
        }
    }

    fn reach(&mut self, leader: &Leader, id: &ExecutorId) -> Result<&mut Fake, OrderError> {
        if leader.cut.contains(id) {
            return Err(OrderError::Silent);
        }
        let fake = self.fakes.get_mut(id).ok_or(OrderError::Silent)?;
        if fake.down {
            return Err(OrderError::Silent);
        }
        Ok(fake)
    }

    fn start(&mut self, leader: &mut Leader, order: Start) {
        let now = self.now.at;
        let job = self.records.iter().find_map(|record| match record {
            Record::Accepted(job) if job.id == order.task.job => Some(job.clone()),
            _ => None,
        });
        let step = job.expect("a job in the log").steps[order.task.step as usize].clone();
        let (ms, outcome) = (self.script)(&order.task, order.run);
        let ends = (!step.long_running).then(|| (now + Duration::from_millis(ms), outcome));
        let id = order.target.executor.clone();
        let result = self
            .reach(leader, &id)
            .and_then(|fake| fake.start(now, &order, step.reserved(), ends));
        if result.is_ok() {
            self.starts.push((now, order.task, order.run, id));
            let lost = |fake: &Fake| fake.has_lost_end(now, &order.task);
            if self.fakes.values().any(lost) {
                self.done.remove(&order.task);
            }
            assert!(
                !self.done.contains(&order.task),
                "{} began after its end",
                order.task
            );
        }
        if self.lost > 0 && result.is_ok() {
            self.lost -= 1;
            let result = Err(OrderError::Silent);
            return leader.later(now, 500, Event::Started { order, result });
        }
        let trip = if result == Err(OrderError::Silent) {
            SILENCE_MS
        } else {
            TRIP_MS
        };
        leader.later(now, trip, Event::Started { order, result });
    }
}
