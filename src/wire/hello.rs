//! First message on a connection.

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;
use crate::record::Role;

/// Says who speaks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its role.
    pub role: Role,
}
