//! Bytes sent and received on links.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;

use compio_quic::Connection;

use crate::net::LinkId;

/// Connections of the established links, and the byte totals of ended ones.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    active: RefCell<HashMap<LinkId, Connection>>,
    ended: Cell<(u64, u64)>,
}

impl Traffic {
    pub(super) fn add(&self, link: LinkId, connection: Connection) {
        self.active.borrow_mut().insert(link, connection);
    }

    pub(super) fn remove(&self, link: LinkId) {
        if let Some(connection) = self.active.borrow_mut().remove(&link) {
            self.ended.set(add_bytes(self.ended.get(), &connection));
        }
    }

    /// Bytes sent and received in UDP datagrams, over all links so far.
    pub(super) fn totals(&self) -> (u64, u64) {
        self.active
            .borrow()
            .values()
            .fold(self.ended.get(), add_bytes)
    }

    pub(super) fn links(&self) -> usize {
        self.active.borrow().len()
    }
}

fn add_bytes(before: (u64, u64), connection: &Connection) -> (u64, u64) {
    let stats = connection.stats();
    (before.0 + stats.udp_tx.bytes, before.1 + stats.udp_rx.bytes)
}
