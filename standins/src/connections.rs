//! Open connections of one listener, which can be silenced or dropped.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

/// What becomes of an open connection from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It stays open, but is neither read nor written any more.
    Silent,
    /// It's closed at once.
    Dropped,
}

/// One open connection.
pub struct Connection {
    control: Cell<bool>,
    fate: RefCell<Option<oneshot::Sender<Fate>>>,
}

impl Connection {
    /// Notes whether the latest request was for a control path.
    pub fn set_control(&self, control: bool) {
        self.control.set(control);
    }

    fn meet(&self, fate: Fate) {
        if let Some(sender) = self.fate.take() {
            sender.send(fate).ok();
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
    pub fn open(&self) -> Option<(Rc<Connection>, oneshot::Receiver<Fate>)> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.limit {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let connection = Rc::new(Connection {
            control: Cell::new(false),
            fate: RefCell::new(Some(sender)),
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

    /// Brings `fate` on the connections open now, but for those last used for control.
    ///
    /// They no longer count towards the limit.
    pub fn end_all(&self, fate: Fate) {
        let mut open = self.open.borrow_mut();
        for connection in open.extract_if(.., |connection| !connection.control.get()) {
            connection.meet(fate);
        }
    }
}
