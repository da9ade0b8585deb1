//! Handle to the running owner of all jobs.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use compio::runtime::JoinHandle;
use futures_channel::oneshot;
use slog::Logger;

use crate::batch::BatchMetrics;
use crate::batch::Fence;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Platform;
use crate::batch::contact::Contact;
use crate::batch::directives_cache::DirectivesCache;
use crate::batch::inbox::Inbox;
use crate::batch::inbox::Message;
use crate::batch::tenure::Tenure;
use crate::batch::term::Term;
use crate::name::NodeName;

/// The running owner of all jobs. Dropping it ends its term.
pub struct Owner {
    fence: Fence,
    inbox: Inbox,
    task: JoinHandle<()>,
}

impl Owner {
    /// Starts a term in a task of its own: takes over from earlier owners, then schedules jobs.
    pub(super) fn spawn<P: Platform>(
        platform: Rc<P>,
        directives: Rc<DirectivesCache>,
        fence: Fence,
        node: NodeName,
        log: Logger,
        metrics: BatchMetrics,
        contact: Rc<Contact>,
    ) -> Self {
        let (inbox, received) = Inbox::open();
        let term = Term {
            platform,
            directives,
            fence,
            node,
            log,
            metrics,
            inbox: inbox.clone(),
            last_read: Rc::new(Cell::new(Instant::now())),
            tenure: Rc::new(RefCell::new(Tenure::new(
                fence,
                contact.confirmation().asked,
            ))),
            contact,
        };
        let task = compio::runtime::spawn(term.run(received));
        Self { fence, inbox, task }
    }

    /// Fencing token: number of its term.
    #[must_use]
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether the term has ended by itself.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }

    /// Sends a request; the receiver is cancelled if the term has ended.
    pub fn ask(&self, request: OwnerRequest) -> oneshot::Receiver<OwnerResponse> {
        let (sender, receiver) = oneshot::channel();
        // If the term has ended, the sender is dropped, which cancels the receiver.
        self.inbox.send(Message::Request(request, sender));
        receiver
    }
}
