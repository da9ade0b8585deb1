//! Inbox of the owner's task.

use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_channel::oneshot;

use crate::batch::Event;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;

/// Message to the owner's task.
pub(super) enum Message {
    /// Input for the dispatcher.
    Event(Event),
    /// Request of a gate, and where to send the response.
    Request(OwnerRequest, oneshot::Sender<OwnerResponse>),
    /// The owner's records can no longer be appended, usually because another owner has begun its
    /// term.
    Superseded,
}

/// A message and the time at which it was sent.
pub(super) struct Envelope {
    /// When it was sent.
    pub sent: Instant,
    /// The message.
    pub message: Message,
}

/// Sender of messages to the owner's task; clones share the inbox.
#[derive(Clone)]
pub(super) struct Inbox(UnboundedSender<Envelope>);

impl Inbox {
    /// Opens an inbox.
    pub fn open() -> (Self, UnboundedReceiver<Envelope>) {
        let (sender, receiver) = unbounded();
        (Self(sender), receiver)
    }

    /// Sends a message. It is dropped if the term has ended.
    pub fn send(&self, message: Message) {
        let sent = Instant::now();
        let _ = self.0.unbounded_send(Envelope { sent, message });
    }
}
