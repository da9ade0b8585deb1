//! An entry in the list of executors that the executor itself has not confirmed.

use std::rc::Rc;

use crate::batch::Executor;

/// An entry that states a later start or another address than an executor that may have runs. The
/// list alone is no proof that the process with these runs has ended.
#[derive(Debug)]
pub struct UnconfirmedEntry {
    /// The entry.
    pub info: Rc<Executor>,
    /// The next heartbeat goes to its address. Until it is answered, the executor gets no new work.
    pub due: bool,
}

impl UnconfirmedEntry {
    /// Creates the state of an entry that has just been listed.
    #[must_use]
    pub fn listed(info: Executor) -> Self {
        Self {
            info: Rc::new(info),
            due: true,
        }
    }
}
