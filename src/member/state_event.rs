//! Events for subscribers to the state.

use std::rc::Rc;
use std::time::Instant;

use crate::record::State;

/// A change of the local replica.
#[derive(Debug, Clone)]
pub enum StateEvent {
    /// The new state, after one or more records.
    State(Rc<State>),
    /// The state is fresh until this deadline.
    Fresh(Instant),
}
