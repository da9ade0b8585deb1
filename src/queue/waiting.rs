//! A request that waits for a slot.

use std::time::Instant;

use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::wire::AttemptId;

/// Descriptor of a waiting request.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The attempt that a grant will name.
    pub attempt: AttemptId,
    /// Link to the gate that asked.
    pub link: LinkId,
    /// Team that pays for the slot.
    pub team: TeamName,
    /// Whether it starts before requests that are not urgent.
    pub urgent: bool,
    /// When the request first asked.
    pub since: Instant,
    /// The caller's deadline.
    pub deadline: Instant,
    /// Hosts that should not get it.
    pub avoid: Vec<HostName>,
}
