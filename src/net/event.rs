//! Events of links.

use crate::net::Link;
use crate::net::LinkId;
use crate::wire::Message;

/// An event of a link; for each link `Up` is the first event and `Down` the last.
#[derive(Debug, Clone)]
pub enum NetEvent {
    /// The handshake is complete.
    Up {
        /// Handle for sending messages to the peer.
        link: Link,
    },
    /// A message from the peer.
    Message {
        /// The link that it arrived on.
        link: Link,
        /// Any message but a `Hello`.
        message: Message,
    },
    /// The connection has ended.
    Down {
        /// The same identity as in the `Up` event.
        link: LinkId,
    },
}
