//! The open connections of a listener, with fault injection.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

/// A fault that is injected into an open connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionFault {
    /// The connection stays open, but is no longer read or written.
    Silent,
    /// The connection is closed immediately.
    Dropped,
}

/// An open connection, as the listener tracks it.
pub struct Connection {
    control: Cell<bool>,
    fault: RefCell<Option<oneshot::Sender<ConnectionFault>>>,
}

impl Connection {
    /// Records whether the latest request was for a control path; if so, no fault is injected.
    pub fn set_control(&self, control: bool) {
        self.control.set(control);
    }

    fn inject(&self, fault: ConnectionFault) {
        if let Some(sender) = self.fault.take() {
            sender.send(fault).ok();
        }
    }
}

/// The open connections of one listener, up to a limit.
pub struct Connections {
    limit: usize,
    open: RefCell<Vec<Rc<Connection>>>,
    opened: Cell<u64>,
}

impl Connections {
    /// Creates an empty set that accepts up to `limit` connections at a time.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: RefCell::default(),
            opened: Cell::new(0),
        }
    }

    /// Registers a connection and returns it with the receiver of its fault.
    ///
    /// Returns `None` if the limit is reached.
    pub fn open(&self) -> Option<(Rc<Connection>, oneshot::Receiver<ConnectionFault>)> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.limit {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let connection = Rc::new(Connection {
            control: Cell::new(false),
            fault: RefCell::new(Some(sender)),
        });
        open.push(connection.clone());
        self.opened.set(self.opened.get() + 1);
        Some((connection, receiver))
    }

    /// Number of connections registered so far, those that have ended included.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Removes a connection that has ended.
    pub fn close(&self, connection: &Rc<Connection>) {
        self.open
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, connection));
    }

    /// Injects `fault` into all open connections except those last used for a control path.
    ///
    /// The affected connections no longer count towards the limit.
    pub fn inject_all(&self, fault: ConnectionFault) {
        let mut open = self.open.borrow_mut();
        for connection in open.extract_if(.., |connection| !connection.control.get()) {
            connection.inject(fault);
        }
    }
}
