//! A connection to another process.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_channel::mpsc::UnboundedSender;

use crate::net::LinkId;
use crate::wire::Hello;
use crate::wire::Message;

/// Handle of a link; clones refer to the same link.
#[derive(Clone)]
pub struct Link {
    id: LinkId,
    peer: Arc<Hello>,
    addr: Option<SocketAddr>,
    queue: UnboundedSender<Message>,
}

impl Link {
    /// Creates a link whose messages go to the receiver of `queue`; tests supply their own.
    #[must_use]
    pub fn new(id: LinkId, peer: Hello, queue: UnboundedSender<Message>) -> Self {
        Self {
            id,
            peer: Arc::new(peer),
            addr: None,
            queue,
        }
    }

    /// Marks the link as dialled by this process at `addr`.
    #[must_use]
    pub const fn dialled(mut self, addr: SocketAddr) -> Self {
        self.addr = Some(addr);
        self
    }

    /// The address that was dialled; `None` if the peer dialled.
    #[must_use]
    pub const fn addr(&self) -> Option<SocketAddr> {
        self.addr
    }

    /// Unique within the process.
    #[must_use]
    pub const fn id(&self) -> LinkId {
        self.id
    }

    /// Name, incarnation and role of the process at the other end.
    #[must_use]
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Queues `message`; drops it if the link is down.
    pub fn send(&self, message: Message) {
        // The users of the link learn of its end by `NetEvent::Down`.
        let _ = self.queue.unbounded_send(message);
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("id", &self.id)
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}
