//! One link to another process.

use std::rc::Rc;

use futures_channel::mpsc::UnboundedSender;

use crate::wire::Hello;
use crate::wire::Message;

/// Number of a link, never used again by a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A link to a process that has said who it is.
#[derive(Debug, Clone)]
pub struct Link {
    id: LinkId,
    peer: Rc<Hello>,
    outbox: UnboundedSender<Message>,
}

impl Link {
    /// A link whose messages go to `outbox`.
    #[must_use]
    pub fn new(id: LinkId, peer: Hello, outbox: UnboundedSender<Message>) -> Self {
        Self {
            id,
            peer: Rc::new(peer),
            outbox,
        }
    }

    /// Number of the link.
    #[must_use]
    pub const fn id(&self) -> LinkId {
        self.id
    }

    /// Who is at the other end.
    #[must_use]
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Sends without waiting; the message is dropped if the link is gone.
    pub fn send(&self, message: Message) {
        let _ = self.outbox.unbounded_send(message);
    }
}
