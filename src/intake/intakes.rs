//! The connections of a listener, as they share it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use futures_channel::oneshot;

use crate::intake::Intake;
use crate::intake::IntakeEvent;
use crate::intake::IntakeLimits;
use crate::intake::Permit;
use crate::intake::Stage;

/// Receives what is done for lack of place.
pub type Observer = Rc<dyn Fn(IntakeEvent)>;

/// Shared handle to the connections of a listener; clones share them.
#[derive(Clone)]
pub struct Intakes {
    core: Rc<RefCell<Intake>>,
    // Dropped to cut a connection.
    cuts: Rc<RefCell<HashMap<u64, oneshot::Sender<()>>>>,
    observer: Observer,
}

impl Intakes {
    /// Creates the handle of a listener without connections.
    #[must_use]
    pub fn new(limits: IntakeLimits, observer: Observer) -> Self {
        Self {
            core: Rc::new(RefCell::new(Intake::new(limits))),
            cuts: Rc::default(),
            observer,
        }
    }

    /// Admits a connection; `None` if there is no place for it.
    #[must_use]
    pub fn admit(&self, now: Instant) -> Option<Permit> {
        let admission = self.core.borrow_mut().admit(now);
        let Some(admission) = admission else {
            (self.observer)(IntakeEvent::ConnectionRefused);
            return None;
        };
        self.cut(admission.cut);
        let (sender, cut) = oneshot::channel();
        self.cuts.borrow_mut().insert(admission.id, sender);
        Some(Permit::new(self.clone(), admission.id, cut))
    }

    pub(super) fn enter(&self, id: u64, stage: Stage, now: Instant) {
        self.core.borrow_mut().enter(id, stage, now);
    }

    pub(super) fn grow(&self, id: u64, bytes: usize, now: Instant) -> bool {
        let grown = self.core.borrow_mut().grow(id, bytes, now);
        let Some(cut) = grown else {
            (self.observer)(IntakeEvent::BodyRefused);
            return false;
        };
        self.cut(cut);
        true
    }

    pub(super) fn leave(&self, id: u64) {
        self.core.borrow_mut().leave(id);
        self.cuts.borrow_mut().remove(&id);
    }

    fn cut(&self, connections: Vec<(u64, IntakeEvent)>) {
        for (id, event) in connections {
            self.cuts.borrow_mut().remove(&id);
            (self.observer)(event);
        }
    }
}
