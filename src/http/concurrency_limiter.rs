//! Turns at a server: no more than so many requests to one are on their way.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::oneshot;

/// Requests to one server.
#[derive(Debug, Default)]
struct Line {
    taken: usize,
    waiting: VecDeque<oneshot::Sender<ConcurrencyGuard>>,
}

/// Turns at servers, in the order in which they are asked for.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    most: usize,
    lines: Rc<RefCell<HashMap<SocketAddr, Line>>>,
}

/// A turn at a server; dropped, it goes to the next in line.
#[derive(Debug)]
pub struct ConcurrencyGuard {
    limiter: ConcurrencyLimiter,
    addr: SocketAddr,
}

impl ConcurrencyLimiter {
    /// Turns of which `most` can be taken at one server.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            lines: Rc::default(),
        }
    }

    /// Waits for a turn.
    pub async fn acquire(&self, addr: SocketAddr) -> ConcurrencyGuard {
        let Some(turn) = self.queue(addr) else {
            return self.turn(addr);
        };
        // The line ends with the turns, and they are still here.
        turn.await.unwrap_or_else(|_| self.turn(addr))
    }

    /// Takes a turn if one is free; otherwise gives what to wait for.
    fn queue(&self, addr: SocketAddr) -> Option<oneshot::Receiver<ConcurrencyGuard>> {
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(addr).or_default();
        if line.taken < self.most {
            line.taken += 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        line.waiting.push_back(sender);
        Some(receiver)
    }

    fn turn(&self, addr: SocketAddr) -> ConcurrencyGuard {
        ConcurrencyGuard {
            limiter: self.clone(),
            addr,
        }
    }

    fn give_back(&self, addr: SocketAddr) {
        let Some(next) = self.next(addr) else {
            return;
        };
        // If nobody waits there any more, the turn is dropped and goes to the next one.
        let _ = next.send(self.turn(addr));
    }

    /// Who gets the turn that has become free; if it's nobody, it stays free.
    fn next(&self, addr: SocketAddr) -> Option<oneshot::Sender<ConcurrencyGuard>> {
        let mut lines = self.lines.borrow_mut();
        let line = lines.get_mut(&addr)?;
        let next = line.waiting.pop_front();
        if next.is_none() {
            line.taken -= 1;
            if line.taken == 0 {
                lines.remove(&addr);
            }
        }
        next
    }
}

impl Drop for ConcurrencyGuard {
    fn drop(&mut self) {
        self.limiter.give_back(self.addr);
    }
}
