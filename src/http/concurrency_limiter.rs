//! Limits the number of concurrent requests to each server.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::oneshot;

/// The running and waiting requests of one server.
#[derive(Debug, Default)]
struct Queue {
    running: usize,
    waiting: VecDeque<oneshot::Sender<ConcurrencyGuard>>,
}

/// Limits concurrent requests per server; waiting requests proceed in FIFO order.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    limit: usize,
    queues: Rc<RefCell<HashMap<SocketAddr, Queue>>>,
}

/// Permission to send one request to a server; dropping it admits the next waiting request.
#[derive(Debug)]
pub struct ConcurrencyGuard {
    limiter: ConcurrencyLimiter,
    addr: SocketAddr,
}

impl ConcurrencyLimiter {
    /// Creates a limiter that allows `limit` concurrent requests per server.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            queues: Rc::default(),
        }
    }

    /// Waits until a request to `addr` is allowed.
    pub async fn acquire(&self, addr: SocketAddr) -> ConcurrencyGuard {
        let Some(receiver) = self.try_acquire(addr) else {
            return self.guard(addr);
        };
        // The queue is dropped with the limiter, which `self` keeps alive, so this cannot fail.
        receiver.await.unwrap_or_else(|_| self.guard(addr))
    }

    /// Counts a request and returns `None` if the limit allows it; otherwise returns a receiver for
    /// its guard.
    fn try_acquire(&self, addr: SocketAddr) -> Option<oneshot::Receiver<ConcurrencyGuard>> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(addr).or_default();
        if queue.running < self.limit {
            queue.running += 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        queue.waiting.push_back(sender);
        Some(receiver)
    }

    fn guard(&self, addr: SocketAddr) -> ConcurrencyGuard {
        ConcurrencyGuard {
            limiter: self.clone(),
            addr,
        }
    }

    fn release(&self, addr: SocketAddr) {
        let Some(next) = self.pop_waiting(addr) else {
            return;
        };
        // If the receiver is gone, the guard is dropped, which admits the next request.
        let _ = next.send(self.guard(addr));
    }

    /// Removes the next waiting request; if there is none, lowers the count of running ones.
    fn pop_waiting(&self, addr: SocketAddr) -> Option<oneshot::Sender<ConcurrencyGuard>> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(&addr)?;
        let next = queue.waiting.pop_front();
        if next.is_none() {
            queue.running -= 1;
            if queue.running == 0 {
                queues.remove(&addr);
            }
        }
        next
    }
}

impl Drop for ConcurrencyGuard {
    fn drop(&mut self) {
        self.limiter.release(self.addr);
    }
}
