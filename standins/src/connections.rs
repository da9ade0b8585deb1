//! Open connections of one listener, which can be silenced or dropped.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

/// What becomes of an open connection from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionFault {
    /// It stays open, but is neither read nor written any more.
    Silent,
    /// It's closed at once.
    Dropped,
}

/// One open connection.
pub struct Connection {
    control: Cell<bool>,
    fault: RefCell<Option<oneshot::Sender<ConnectionFault>>>,
}

impl Connection {
    /// Notes whether the latest request was for a control path.
    pub fn set_control(&self, control: bool) {
        self.control.set(control);
    }

    fn inject(&self, fault: ConnectionFault) {
        if let Some(sender) = self.fault.take() {
            sender.send(fault).ok();
        }
    }
}

/// The open connections of one listener.
pub struct Connections {
    limit: usize,
    open: RefCell<Vec<Rc<Connection>>>,
}

impl Connections {
    /// Starts with none, and takes `limit` at the same time.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: RefCell::default(),
        }
    }

    /// Takes in a connection, unless the limit is reached.
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
        Some((connection, receiver))
    }

    /// Forgets a connection that has ended.
    pub fn close(&self, connection: &Rc<Connection>) {
        self.open
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, connection));
    }

    /// Brings `fault` on the connections open now, but for those last used for control.
    ///
    /// They no longer count towards the limit.
    pub fn inject_all(&self, fault: ConnectionFault) {
        let mut open = self.open.borrow_mut();
        for connection in open.extract_if(.., |connection| !connection.control.get()) {
            connection.inject(fault);
        }
    }
}
