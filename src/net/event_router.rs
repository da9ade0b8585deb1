//! Routes the events of links to their receivers.

use std::cell::Cell;

use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;

use crate::net::LinkId;
use crate::net::NetEvent;

/// The two receivers of events; both get `Up` and `Down`.
#[derive(Debug)]
pub struct Events {
    /// Messages that replicate the state or prove its freshness.
    pub state: UnboundedReceiver<NetEvent>,
    /// All other messages.
    pub dispatch: UnboundedReceiver<NetEvent>,
}

/// Sends each event to its receivers and numbers the links.
#[derive(Debug)]
pub(super) struct EventRouter {
    state: UnboundedSender<NetEvent>,
    dispatch: UnboundedSender<NetEvent>,
    links: Cell<u64>,
}

impl EventRouter {
    pub(super) fn open() -> (Self, Events) {
        let (state, state_events) = mpsc::unbounded();
        let (dispatch, core_events) = mpsc::unbounded();
        let router = Self {
            state,
            dispatch,
            links: Cell::new(0),
        };
        let events = Events {
            state: state_events,
            dispatch: core_events,
        };
        (router, events)
    }

    pub(super) fn next_id(&self) -> LinkId {
        self.links.set(self.links.get() + 1);
        LinkId(self.links.get())
    }

    /// Sends `event` to its receivers, except to those that were dropped.
    pub(super) fn emit(&self, event: NetEvent) {
        match &event {
            NetEvent::Message { message, .. } if message.is_state() => {
                let _ = self.state.unbounded_send(event);
            }
            NetEvent::Message { .. } => {
                let _ = self.dispatch.unbounded_send(event);
            }
            NetEvent::Up { .. } | NetEvent::Down { .. } => {
                let _ = self.state.unbounded_send(event.clone());
                let _ = self.dispatch.unbounded_send(event);
            }
        }
    }
}
