//! A fleet member whose word counts.

use std::fmt;

use crate::name::NodeName;
use crate::wire::Hello;

/// One incarnation of a fleet process; its successor under the same name is another voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Voter {
    /// Name of the process.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: u64,
}

impl From<&Hello> for Voter {
    fn from(hello: &Hello) -> Self {
        Self {
            node: hello.node.clone(),
            incarnation: hello.incarnation,
        }
    }
}

impl fmt::Display for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.node, self.incarnation)
    }
}
