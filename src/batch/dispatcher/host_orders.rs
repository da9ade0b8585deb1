//! Orders for hosts stand in the log before they are given, so that a later owner knows of them.

use std::time::Duration;

use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Maintain;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Record;
use crate::batch::Transfer;
use crate::name::HostName;

/// Age of a record from which on its order is no longer given, in milliseconds. A later owner
/// leaves the host alone for longer than that.
pub(super) const FRESH_MS: u64 = 1_500;

/// An order for a host.
#[derive(Debug)]
pub(super) enum HostOrder {
    /// To another pool.
    Transfer(Transfer),
    /// Down for its upkeep.
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

/// An order whose record is on its way into the log.
#[derive(Debug)]
pub(super) struct Announced {
    order: HostOrder,
    at: Now,
}

impl Announced {
    /// Whether its record is older than an order may be. The steady clock stands still while the
    /// machine is suspended, and the time of day may jump, so either counts.
    fn is_stale(&self, now: Now) -> bool {
        let steady = now.at > self.at.at + Duration::from_millis(FRESH_MS);
        steady || now.unix > self.at.unix + FRESH_MS
    }
}

impl Dispatcher {
    /// Writes an order for a host to the log; it is given once it's there.
    pub(super) fn announce(&mut self, now: Now, order: HostOrder) {
        let host = order.host().clone();
        let at = now.unix;
        let append_id = self.append(vec![Record::HostOrdered { host, at }]);
        let announced = Announced { order, at: now };
        self.announced.insert(append_id, announced);
    }

    /// Gives an order whose record is in the log, unless that took too long.
    pub(super) fn give(&mut self, now: Now, announced: Announced) {
        let stale = announced.is_stale(now);
        let order = announced.order;
        if stale {
            warn!(self.log, "order too late"; "host" => %order.host());
            return self.drop_order(now, order);
        }
        self.actions.push(match order {
            HostOrder::Transfer(order) => Action::Transfer(order),
            HostOrder::Maintain(order) => Action::Maintain(order),
        });
    }

    fn drop_order(&mut self, now: Now, order: HostOrder) {
        match order {
            HostOrder::Transfer(order) => {
                self.pools
                    .answered(now.at, &order.host, Err(OrderError::Unsent));
            }
            HostOrder::Maintain(order) => {
                self.waves
                    .answered(now.at, order.wave, &order.host, Err(OrderError::Unsent));
            }
        }
    }
}
