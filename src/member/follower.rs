//! Handle to the local replica of the state.

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
use crate::member::follower_core::FollowerCore;
use crate::member::follower_tasks::FollowerTasks;
use crate::net::NetEvent;
use crate::observe::Recorder;
use crate::record::Change;
use crate::record::Record;
use crate::record::State;
use crate::wire::Hello;

/// Handle to the tasks that keep the local replica up to date. They stop when the last clone of
/// the handle is dropped.
#[derive(Clone)]
pub struct Follower {
    tasks: Rc<FollowerTasks>,
    _handles: Rc<[JoinHandle<()>; 3]>,
}

impl Follower {
    /// Starts to follow the log for the process `me`. The `voters` confirm how recent its state
    /// is, and `recorder` receives a note for each applied change.
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
        let core = RefCell::new(FollowerCore::new(replica, &me, recorder));
        let tasks = Rc::new(FollowerTasks {
            me,
            log,
            logger,
            core,
        });
        let handles = [
            spawn(Rc::clone(&tasks).poll_log()),
            spawn(Rc::clone(&tasks).handle_events(events)),
            spawn(Rc::clone(&tasks).tick()),
        ];
        Self {
            tasks,
            _handles: Rc::new(handles),
        }
    }

    /// Subscribes to changes of the state and its freshness, beginning with the current ones.
    #[must_use]
    pub fn subscribe(&self) -> UnboundedReceiver<StateEvent> {
        self.tasks.core.borrow_mut().subscribe()
    }

    /// The current state; the returned value does not follow later changes.
    #[must_use]
    pub fn state(&self) -> Rc<State> {
        Rc::clone(self.tasks.core.borrow().replica.state())
    }

    /// Deadline until which the state is fresh; `None` if it never was.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        self.tasks.core.borrow().replica.fresh_until()
    }

    /// Appends a change in a new record of this process.
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

    /// Appends a record and waits until it is applied here. The same record can safely be
    /// appended again until [`MAX_RECENT_IDS`](crate::record::MAX_RECENT_IDS) others follow it.
    ///
    /// # Errors
    /// `NotAppended` if the log did not accept the record; `Unknown` if the outcome could not be
    /// determined in time.
    pub async fn append_record(&self, record: Record) -> Result<AppliedChange, ChangeError> {
        self.tasks.append_record(record).await
    }
}
