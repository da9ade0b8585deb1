//! The running owner of all jobs.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use compio::runtime::JoinHandle;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_channel::oneshot;
use slog::Logger;

use crate::batch::Answer;
use crate::batch::Ask;
use crate::batch::Event;
use crate::batch::Fence;
use crate::batch::Meters;
use crate::batch::Platform;
use crate::batch::contact::Contact;
use crate::batch::term::Term;
use crate::batch::view::View;
use crate::name::NodeName;

/// What reaches the owner's task.
pub(super) enum Message {
    /// It learns something.
    Event(Event),
    /// A gate asks.
    Ask(Ask, oneshot::Sender<Answer>),
    /// Another owner has begun.
    Superseded,
}

/// The running owner of all jobs; dropping it ends its term.
pub struct Owner {
    fence: Fence,
    inbox: UnboundedSender<Message>,
    task: JoinHandle<()>,
}

impl Owner {
    /// Starts a term: reads the log, takes the executors over and decides from then on.
    pub(super) fn spawn<P: Platform>(
        platform: Rc<P>,
        view: Rc<View>,
        fence: Fence,
        node: NodeName,
        log: Logger,
        meters: Meters,
        contact: Rc<Contact>,
    ) -> Self {
        let (inbox, received) = unbounded();
        let term = Term {
            platform,
            view,
            fence,
            node,
            log,
            meters,
            inbox: inbox.clone(),
            read: Rc::new(Cell::new(Instant::now())),
            contact,
        };
        let task = compio::runtime::spawn(term.run(received));
        Self { fence, inbox, task }
    }

    /// Number of its term.
    #[must_use]
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether it has ended by itself.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }

    /// Asks it; `None` if it has ended.
    pub fn ask(&self, ask: Ask) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        // If the owner has ended, the sender is dropped and the receiver learns of it.
        let _ = self.inbox.unbounded_send(Message::Ask(ask, sender));
        receiver
    }
}
