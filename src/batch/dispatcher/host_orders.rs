//! Orders for hosts. Each is recorded in the log before it is sent, so that a later owner knows of
//! it.

use std::time::Duration;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Maintain;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Record;
use crate::batch::Transfer;
use crate::name::HostName;

/// Age of a record beyond which its order is dropped instead of sent, in milliseconds. A later
/// owner sends no order for the host until more than that has passed.
pub(super) const ORDER_VALIDITY_MS: u64 = 1_500;

/// An order for a host.
#[derive(Debug)]
pub(super) enum HostOrder {
    /// Moves the host to another pool.
    Transfer(Transfer),
    /// Takes the host down for maintenance.
    Maintain(Maintain),
}

impl HostOrder {
    const fn host(&self) -> &HostName {
        match self {
            Self::Transfer(order) => &order.host,
            Self::Maintain(order) => &order.host,
        }
    }
}

/// An order whose record is being appended to the log.
#[derive(Debug)]
pub(super) struct PendingOrder {
    order: HostOrder,
    at: Now,
}

impl PendingOrder {
    /// Whether the record is too old for its order to be sent. The monotonic clock stops while the
    /// machine is suspended, and the wall clock may jump, so both are checked.
    fn is_stale(&self, now: Now) -> bool {
        let stale = now.at > self.at.at + Duration::from_millis(ORDER_VALIDITY_MS);
        stale || now.unix > self.at.unix + ORDER_VALIDITY_MS
    }
}

impl Dispatcher {
    /// Records an order for a host in the log; it is sent once the record is there.
    pub(super) fn record_order(&mut self, now: Now, order: HostOrder) {
        let host = order.host().clone();
        let at = now.unix;
        let append_id = self.append(vec![Record::HostOrdered { host, at }]);
        let pending = PendingOrder { order, at: now };
        self.pending_orders.insert(append_id, pending);
    }

    /// Sends an order whose record is in the log, unless the append took too long.
    pub(super) fn send_order(&mut self, now: Now, pending: PendingOrder) {
        let stale = pending.is_stale(now);
        let order = pending.order;
        if stale {
            warn!(self.log, "order for a host dropped: recording it took too long";
                "host" => %order.host());
            return self.drop_order(now, order);
        }
        self.actions.push(match order {
            HostOrder::Transfer(order) => Action::Transfer(order),
            HostOrder::Maintain(order) => Action::Maintain(order),
        });
    }

    /// Handles the answer that an order for a host is carried out, now or earlier. If an earlier order
    /// may have been, the executor that is listed may have started since then, so it's asked; else it
    /// has ended.
    pub(super) fn on_order_done(&mut self, now: Now, host: &HostName) {
        if self.unsettled.contains(host) {
            info!(self.log, "order for a host may have been carried out earlier; asking its executor";
                "host" => %host);
            return self.ask_executors(now, host);
        }
        self.retire_executors(now, host);
    }

    /// Notes whether an order for a host may have been carried out unnoticed.
    pub(super) fn note_order_result(&mut self, host: &HostName, result: &Result<(), OrderError>) {
        match result {
            Err(OrderError::Silent) => {
                self.unsettled.insert(host.clone());
            }
            Ok(()) | Err(OrderError::Gone) => {
                self.unsettled.remove(host);
            }
            // Other refusals tell nothing of earlier orders.
            Err(_) => {}
        }
    }

    fn drop_order(&mut self, now: Now, order: HostOrder) {
        match order {
            HostOrder::Transfer(order) => {
                self.pools
                    .on_answer(now.at, &order.host, Err(OrderError::Unsent));
            }
            HostOrder::Maintain(order) => {
                self.waves
                    .on_answer(now.at, order.wave, &order.host, Err(OrderError::Unsent));
            }
        }
    }
}
