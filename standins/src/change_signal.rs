//! Change notification between the tasks of one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;

/// Counts changes and wakes the tasks that wait for one.
#[derive(Default)]
pub struct ChangeSignal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl ChangeSignal {
    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// The number of changes so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Waits until there have been more than `seen` changes.
    pub async fn wait_after(&self, seen: u64) {
        poll_fn(|context| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            wakers.retain(|waker| !waker.will_wake(context.waker()));
            wakers.push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
