//! First message of either side on a connection.

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;
use crate::record::Role;

/// Identifies the sender to its peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process.
    pub node: NodeName,
    /// Distinguishes successive processes of the same name; later ones have higher numbers.
    pub incarnation: u64,
    /// Whether it is a gate, a scheduler or a fleet process.
    pub role: Role,
}
