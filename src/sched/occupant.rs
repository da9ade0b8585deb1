//! A slot in use by a request.

use std::time::Instant;

use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;
use crate::wire::Peer;

/// The attempt that occupies a slot.
#[derive(Debug, Clone)]
pub struct Occupant {
    /// The host that has the slot.
    pub host: HostName,
    /// Team whose permit it uses.
    pub team: TeamName,
    /// Whether the request is urgent.
    pub urgent: bool,
    /// The gate that runs it.
    pub gate: Peer,
    /// Link on which the slot was granted, until the gate reports the attempt as running.
    pub unconfirmed: Option<LinkId>,
    /// When it was granted, or first reported by the gate.
    pub since: Instant,
}
