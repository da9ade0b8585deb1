//! Who wrote a record.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;

/// Longest text that names an operator, in bytes.
pub const MAX_OPERATOR_BYTES: usize = 128;

/// Writer of a record, kept for the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Author {
    /// A process of the system.
    Node(NodeName),
    /// An operator, as the operators' interface knows them.
    Operator(String),
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(node) => node.fmt(f),
            Self::Operator(text) => f.write_str(text),
        }
    }
}
