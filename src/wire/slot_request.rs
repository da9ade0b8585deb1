//! Request of a gate for a slot.

use serde::Deserialize;
use serde::Serialize;

use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::wire::AttemptId;

/// Metadata of a request that waits for a slot; its body stays at the gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies the attempt in the grant or refusal.
    pub attempt: AttemptId,
    /// Service that is called.
    pub service: ServiceName,
    /// Team that the slot is charged to.
    pub team: TeamName,
    /// Whether the request takes precedence over requests that are not urgent.
    pub urgent: bool,
    /// Milliseconds until the caller's deadline, when this was sent.
    pub remaining: u32,
    /// Milliseconds that the request had waited when this was sent.
    pub waited: u32,
    /// Hosts that failed the request before; used only if no other host has a free slot.
    pub avoid: Vec<HostName>,
}
