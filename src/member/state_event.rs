//! News of the state.

use std::rc::Rc;
use std::time::Instant;

use crate::record::State;

/// What subscribers hear.
#[derive(Debug, Clone)]
pub enum StateEvent {
    /// The state has changed.
    State(Rc<State>),
    /// The state is known to be recent until then.
    Fresh(Instant),
}
