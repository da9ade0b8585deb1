//! What a program runs.

use crate::node::Node;

/// The running part of a program.
pub trait NodeProcess {
    /// Its links, state and membership.
    fn node(&self) -> &Node;
}
