//! The connections of a listener, as they share it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use futures_channel::oneshot;

use crate::intake::Decision;
use crate::intake::Intake;
use crate::intake::IntakeEvent;
use crate::intake::IntakeLimits;
use crate::intake::Permit;
use crate::intake::Stage;
use crate::intake::closing::Closing;

/// Receives what is done for lack of place.
pub type Observer = Rc<dyn Fn(IntakeEvent)>;

/// Shared handle to the connections of a listener; clones share them.
#[derive(Clone)]
pub struct Intakes {
    core: Rc<RefCell<Intake>>,
    // Dropped to cut a connection.
    cuts: Rc<RefCell<HashMap<u64, oneshot::Sender<()>>>>,
    closing: Rc<Closing>,
    last: Rc<Cell<u64>>,
    observer: Observer,
}

impl Intakes {
    /// Creates the handle of a listener without connections.
    #[must_use]
    pub fn new(limits: IntakeLimits, observer: Observer) -> Self {
        Self {
            core: Rc::new(RefCell::new(Intake::new(limits))),
            cuts: Rc::default(),
            closing: Rc::default(),
            last: Rc::default(),
            observer,
        }
    }

    /// Admits a connection of a client; `None` if there is no room for it.
    #[must_use]
    pub fn admit(&self, client: IpAddr, now: Instant) -> Option<Permit> {
        let id = self.last.get() + 1;
        self.last.set(id);
        let decision = self.core.borrow_mut().admit(id, client, now);
        if !self.carry_out(decision) {
            (self.observer)(IntakeEvent::ConnectionRefused);
            return None;
        }
        let (sender, cut) = oneshot::channel();
        self.cuts.borrow_mut().insert(id, sender);
        Some(Permit::new(self.clone(), id, cut))
    }

    /// Waits until all connections that were cut are closed: until then they take a descriptor and
    /// memory, although they no longer count.
    pub async fn settled(&self) {
        self.closing.ended().await;
    }

    pub(super) fn enter(&self, id: u64, stage: Stage, now: Instant) {
        self.core.borrow_mut().enter(id, stage, now);
    }

    pub(super) fn grow(&self, id: u64, bytes: usize, now: Instant) -> bool {
        let decision = self.core.borrow_mut().grow(id, bytes, now);
        let granted = self.carry_out(decision);
        if !granted {
            (self.observer)(IntakeEvent::BodyRefused);
        }
        granted
    }

    pub(super) fn leave(&self, id: u64) {
        self.core.borrow_mut().leave(id);
        self.cuts.borrow_mut().remove(&id);
        self.closing.remove(id);
    }

    /// Cuts what a decision says; returns whether it grants room.
    fn carry_out(&self, decision: Decision) -> bool {
        for (id, event) in decision.cut {
            self.closing.add(id);
            self.cuts.borrow_mut().remove(&id);
            (self.observer)(event);
        }
        decision.granted
    }
}
