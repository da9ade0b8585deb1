//! Identity of a process.

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;
use crate::wire::Hello;

/// A single run of a process: its name and incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the process.
    pub node: NodeName,
    /// Distinguishes successive processes of the same name; later ones have higher numbers.
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
