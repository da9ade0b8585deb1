//! The handle to a process's state as it is kept up to date.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use futures_channel::mpsc::UnboundedReceiver;
use slog::Logger;

use crate::log::LogClient;
use crate::member::AppliedChange;
use crate::member::ChangeError;
use crate::member::Replica;
use crate::member::StateEvent;
use crate::member::Voters;
use crate::member::core::Core;
use crate::member::tasks::Tasks;
use crate::net::NetEvent;
use crate::observe::Recorder;
use crate::record::Change;
use crate::record::Record;
use crate::record::State;
use crate::wire::Hello;

/// Handle to a running follower, which ends with its last handle.
#[derive(Clone)]
pub struct Follower {
    tasks: Rc<Tasks>,
    _running: Rc<[JoinHandle<()>; 3]>,
}

impl Follower {
    /// Starts following the log for the process `me`, whose state `voters` vouch for, and
    /// returns the handle. What is folded goes on the time line of `recorder`.
    #[must_use]
    pub fn spawn(
        me: Hello,
        voters: Voters,
        log: LogClient,
        events: UnboundedReceiver<NetEvent>,
        recorder: Recorder,
        logger: Logger,
    ) -> Self {
        let replica = Replica::new(Instant::now(), me.clone(), voters);
        let core = RefCell::new(Core::new(replica, &me, recorder));
        let tasks = Rc::new(Tasks {
            me,
            log,
            logger,
            core,
        });
        let running = [
            spawn(Rc::clone(&tasks).poll()),
            spawn(Rc::clone(&tasks).listen(events)),
            spawn(Rc::clone(&tasks).tick()),
        ];
        Self {
            tasks,
            _running: Rc::new(running),
        }
    }

    /// News of the state from now on, and what is known so far.
    #[must_use]
    pub fn subscribe(&self) -> UnboundedReceiver<StateEvent> {
        self.tasks.core.borrow_mut().subscribe()
    }

    /// The state as of now.
    #[must_use]
    pub fn state(&self) -> Rc<State> {
        Rc::clone(self.tasks.core.borrow().replica.state())
    }

    /// The deadline until which the state is fresh; none if it never was.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        self.tasks.core.borrow().replica.fresh_until()
    }

    /// Appends a change of this process under a new id.
    ///
    /// # Errors
    /// As [`append_record`](Self::append_record).
    pub async fn append(
        &self,
        base: Option<u64>,
        change: Change,
    ) -> Result<AppliedChange, ChangeError> {
        self.tasks.append(base, change).await
    }

    /// Appends a record. It is safe to send the same record again as long as its id is
    /// remembered, that is, for [`MAX_RECENT_IDS`](crate::record::RECENT_IDS) records.
    ///
    /// # Errors
    /// `NotAppended` if the log did not take it; `Unknown` if that can't be found out in time.
    pub async fn append_record(&self, record: Record) -> Result<AppliedChange, ChangeError> {
        self.tasks.append_record(record).await
    }
}
