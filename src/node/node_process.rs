//! The running process of a program.

use crate::node::Node;

/// A running gate, scheduler or fleet process.
pub trait NodeProcess {
    /// The common part of the process.
    fn node(&self) -> &Node;
}
