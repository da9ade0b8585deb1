//! Identity of a process.

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;
use crate::wire::Hello;

/// One life of a process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the process.
    pub node: NodeName,
    /// Distinguishes successive processes of one name.
    pub incarnation: u64,
}

impl From<&Hello> for Peer {
    fn from(hello: &Hello) -> Self {
        Self {
            node: hello.node.clone(),
            incarnation: hello.incarnation,
        }
    }
}
