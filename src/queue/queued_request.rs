//! A request in the queue.

use std::time::Instant;

use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::wire::AttemptId;

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Id of the attempt that the slot will be granted to.
    pub attempt: AttemptId,
    /// Link to the gate that sent it.
    pub link: LinkId,
    /// Team whose permit it will use.
    pub team: TeamName,
    /// Whether it starts ahead of requests that are not urgent.
    pub urgent: bool,
    /// When the request was first sent, earlier attempts included.
    pub since: Instant,
    /// The caller's deadline.
    pub deadline: Instant,
    /// Hosts to use only if no other has a free slot.
    pub avoid: Vec<HostName>,
}
