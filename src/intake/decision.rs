//! Answer to a request for room.

use crate::intake::IntakeEvent;

/// Whether there is room for a connection or a body, and what has to go for it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// There is room now.
    pub granted: bool,
    /// Numbers of connections to cut, which count no longer, and why; also where there is not enough
    /// room without them.
    pub cut: Vec<(u64, IntakeEvent)>,
}
