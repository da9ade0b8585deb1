//! Bytes on the links.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;

use compio_quic::Connection;

use crate::net::LinkId;

/// Connections of the links that stand, and what ended ones have carried.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    live: RefCell<HashMap<LinkId, Connection>>,
    past: Cell<(u64, u64)>,
}

impl Traffic {
    pub(super) fn add(&self, link: LinkId, connection: Connection) {
        self.live.borrow_mut().insert(link, connection);
    }

    pub(super) fn remove(&self, link: LinkId) {
        if let Some(connection) = self.live.borrow_mut().remove(&link) {
            self.past.set(sum(self.past.get(), &connection));
        }
    }

    /// Bytes in datagrams, sent and received.
    pub(super) fn totals(&self) -> (u64, u64) {
        self.live.borrow().values().fold(self.past.get(), sum)
    }

    pub(super) fn links(&self) -> usize {
        self.live.borrow().len()
    }
}

fn sum(before: (u64, u64), connection: &Connection) -> (u64, u64) {
    let stats = connection.stats();
    (before.0 + stats.udp_tx.bytes, before.1 + stats.udp_rx.bytes)
}
