//! A slot in use.

use std::time::Instant;

use crate::name::HostName;
use crate::name::TeamName;
use crate::net::LinkId;

/// The occupant of a slot.
#[derive(Debug, Clone)]
pub struct Held {
    /// The host that has the slot.
    pub host: HostName,
    /// Team that pays for it.
    pub team: TeamName,
    /// Link to the gate that runs it.
    pub link: LinkId,
    /// When the slot is surely free, known once the gate's link is lost.
    pub expires: Option<Instant>,
}
