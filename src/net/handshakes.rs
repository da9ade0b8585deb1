//! Handshakes of accepted connections whose peers are not known yet.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::future::Either;
use futures_util::future::select;

use crate::net::NetError;

/// Most handshakes in progress. Each takes some 40 KB until the peer has shown its certificate.
const MAX_HANDSHAKES: usize = 64;

/// Handshakes in progress; the oldest makes room for a new one.
#[derive(Debug, Default)]
pub(super) struct Handshakes {
    // By number, so that the first is the oldest. Dropped to cancel one.
    pending: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    last: Cell<u64>,
}

/// The place of one handshake; given back when dropped.
struct Place {
    handshakes: Rc<Handshakes>,
    id: u64,
}

impl Handshakes {
    /// Runs a handshake until it ends or has to make room for others.
    pub(super) async fn run<T>(
        self: Rc<Self>,
        work: impl Future<Output = Result<T, NetError>>,
    ) -> Result<T, NetError> {
        let (place, cancelled) = self.begin();
        let result = match select(pin!(work), cancelled).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(NetError::HandshakeCancelled),
        };
        drop(place);
        result
    }

    fn begin(self: Rc<Self>) -> (Place, oneshot::Receiver<()>) {
        let id = self.last.get() + 1;
        self.last.set(id);
        let (sender, cancelled) = oneshot::channel();
        {
            let mut pending = self.pending.borrow_mut();
            if pending.len() >= MAX_HANDSHAKES {
                pending.pop_first();
            }
            pending.insert(id, sender);
        }
        let place = Place {
            handshakes: self,
            id,
        };
        (place, cancelled)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.handshakes.pending.borrow_mut().remove(&self.id);
    }
}
