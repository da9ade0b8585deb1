//! The running owner of all jobs.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use compio::runtime::JoinHandle;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_channel::oneshot;
use slog::Logger;

use crate::batch::BatchMetrics;
use crate::batch::Event;
use crate::batch::Fence;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Platform;
use crate::batch::contact::Contact;
use crate::batch::directives_cache::DirectivesCache;
use crate::batch::term::Term;
use crate::name::NodeName;

/// What reaches the owner's task.
pub(super) enum Message {
    /// It learns something.
    Event(Event),
    /// A gate asks.
    OwnerRequest(OwnerRequest, oneshot::Sender<OwnerResponse>),
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
        view: Rc<DirectivesCache>,
        fence: Fence,
        node: NodeName,
        log: Logger,
        metrics: BatchMetrics,
        contact: Rc<Contact>,
    ) -> Self {
        let (inbox, received) = unbounded();
        let term = Term {
            platform,
            view,
            fence,
            node,
            log,
            metrics,
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
    pub fn ask(&self, ask: OwnerRequest) -> oneshot::Receiver<OwnerResponse> {
        let (sender, receiver) = oneshot::channel();
        // If the owner has ended, the sender is dropped and the receiver learns of it.
        let _ = self
            .inbox
            .unbounded_send(Message::OwnerRequest(ask, sender));
        receiver
    }
}
