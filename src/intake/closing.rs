//! Connections that were cut and are still open.

use std::cell::RefCell;
use std::collections::HashSet;
use std::future::poll_fn;
use std::task::Poll;

use futures_util::task::AtomicWaker;

/// Connections that were cut and whose tasks have not ended yet.
#[derive(Debug, Default)]
pub struct Closing {
    ids: RefCell<HashSet<u64>>,
    waker: AtomicWaker,
}

impl Closing {
    /// Notes that a connection was cut.
    pub fn add(&self, id: u64) {
        self.ids.borrow_mut().insert(id);
    }

    /// Notes that a connection has ended, whether it was cut or not.
    pub fn remove(&self, id: u64) {
        self.ids.borrow_mut().remove(&id);
        if self.ids.borrow().is_empty() {
            self.waker.wake();
        }
    }

    /// Waits until none is open. One task may wait at a time.
    pub async fn ended(&self) {
        poll_fn(|cx| {
            if self.ids.borrow().is_empty() {
                return Poll::Ready(());
            }
            self.waker.register(cx.waker());
            Poll::Pending
        })
        .await;
    }
}
