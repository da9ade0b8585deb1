//! What the network tells a task.

use crate::net::Link;
use crate::net::LinkId;
use crate::wire::Message;

/// Something that happened on a link.
#[derive(Debug, Clone)]
pub enum NetEvent {
    /// A link is up and both sides have said who they are.
    Up {
        /// The link.
        link: Link,
    },
    /// A message came in.
    Message {
        /// The link that it came on.
        link: Link,
        /// The message.
        message: Message,
    },
    /// A link is gone.
    Down {
        /// Its number.
        link: LinkId,
    },
}
