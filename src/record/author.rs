//! The author of a record.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;

/// Maximum length of [`Author::Operator`], in bytes.
pub const MAX_OPERATOR_BYTES: usize = 128;

/// The author of a record, as shown on the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Author {
    /// A process of the system.
    Node(NodeName),
    /// An operator, as named by the operators' API.
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
