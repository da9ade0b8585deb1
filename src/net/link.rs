//! A connection to another process.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_channel::mpsc::UnboundedSender;

use crate::net::LinkId;
use crate::wire::Hello;
use crate::wire::Message;

/// Handle of a link; a clone is the same link.
#[derive(Clone)]
pub struct Link {
    id: LinkId,
    peer: Arc<Hello>,
    addr: Option<SocketAddr>,
    queue: UnboundedSender<Message>,
}

impl Link {
    /// A link whose messages go to the task behind `queue`; tests put a receiver of their own there.
    #[must_use]
    pub fn new(id: LinkId, peer: Hello, queue: UnboundedSender<Message>) -> Self {
        Self {
            id,
            peer: Arc::new(peer),
            addr: None,
            queue,
        }
    }

    /// The same link, dialled by this process at `addr`.
    #[must_use]
    pub const fn dialled(mut self, addr: SocketAddr) -> Self {
        self.addr = Some(addr);
        self
    }

    /// The address that was dialled; none if the peer did.
    #[must_use]
    pub const fn addr(&self) -> Option<SocketAddr> {
        self.addr
    }

    /// Its identity.
    #[must_use]
    pub const fn id(&self) -> LinkId {
        self.id
    }

    /// Who is at the other end.
    #[must_use]
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Queues `message`, or drops it if the link is gone.
    pub fn send(&self, message: Message) {
        // A link that is gone says so by an event.
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
