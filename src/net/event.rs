//! What happens on links.

use crate::net::Link;
use crate::net::LinkId;
use crate::wire::Message;

/// An event of a link; for each link `Up` comes first and `Down` last.
#[derive(Debug, Clone)]
pub enum NetEvent {
    /// The link stands.
    Up {
        /// The link.
        link: Link,
    },
    /// The peer says something.
    Message {
        /// Where.
        link: Link,
        /// What.
        message: Message,
    },
    /// The link is gone.
    Down {
        /// Which.
        link: LinkId,
    },
}
