//! A gate's question for a slot.

use serde::Deserialize;
use serde::Serialize;

use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::wire::AttemptId;

/// Descriptor of a request that waits for a slot; its body stays at the gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The attempt that a grant will name.
    pub attempt: AttemptId,
    /// Service that the request addresses.
    pub service: ServiceName,
    /// Team that pays for the slot.
    pub team: TeamName,
    /// Whether the request starts before others.
    pub urgent: bool,
    /// Milliseconds until the caller's deadline, as of sending.
    pub remaining: u32,
    /// Milliseconds that the request has waited already, as of sending.
    pub waited: u32,
    /// Hosts that have failed the request and should not get it again.
    pub avoid: Vec<HostName>,
}
