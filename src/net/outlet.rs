//! Where the events of links go.

use std::cell::Cell;

use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;

use crate::net::LinkId;
use crate::net::NetEvent;

/// The two receivers of events; `Up` and `Down` come to both.
#[derive(Debug)]
pub struct Events {
    /// Messages about the state and its freshness.
    pub state: UnboundedReceiver<NetEvent>,
    /// All other messages.
    pub core: UnboundedReceiver<NetEvent>,
}

/// Sorts events to their receivers and counts links.
#[derive(Debug)]
pub(super) struct Outlet {
    state: UnboundedSender<NetEvent>,
    core: UnboundedSender<NetEvent>,
    links: Cell<u64>,
}

impl Outlet {
    pub(super) fn open() -> (Self, Events) {
        let (state, state_events) = mpsc::unbounded();
        let (core, core_events) = mpsc::unbounded();
        let outlet = Self {
            state,
            core,
            links: Cell::new(0),
        };
        let events = Events {
            state: state_events,
            core: core_events,
        };
        (outlet, events)
    }

    pub(super) fn next_id(&self) -> LinkId {
        self.links.set(self.links.get() + 1);
        LinkId(self.links.get())
    }

    /// Passes `event` on; nobody needs it where the receiver is gone.
    pub(super) fn emit(&self, event: NetEvent) {
        match &event {
            NetEvent::Message { message, .. } if message.is_state() => {
                let _ = self.state.unbounded_send(event);
            }
            NetEvent::Message { .. } => {
                let _ = self.core.unbounded_send(event);
            }
            NetEvent::Up { .. } | NetEvent::Down { .. } => {
                let _ = self.state.unbounded_send(event.clone());
                let _ = self.core.unbounded_send(event);
            }
        }
    }
}
