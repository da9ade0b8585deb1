//! A slot in use.

use std::time::Instant;

use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::wire::Peer;

/// The occupant of a slot.
#[derive(Debug, Clone)]
pub struct Held {
    /// The host that has the slot.
    pub host: HostName,
    /// Team that pays for it.
    pub team: TeamName,
    /// Whether it went before others.
    pub urgent: bool,
    /// The gate that runs it.
    pub gate: Peer,
    /// Link on which it was granted, until the gate names it as running.
    pub granted: Option<LinkId>,
    /// When it was granted or adopted.
    pub since: Instant,
}
