//! Requests for the timeline entries of other processes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Instant;

use compio::time::timeout_at;
use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedSender;
use futures_util::StreamExt;

use crate::name::NodeName;
use crate::net::Link;
use crate::net::LinkId;
use crate::observe::HlcTimestamp;
use crate::observe::NodeTimeline;
use crate::wire::Message;

/// The established links and the pending requests, by their nonce.
#[derive(Debug, Default)]
pub(super) struct TimelineRequests {
    links: RefCell<BTreeMap<LinkId, Link>>,
    nonce: Cell<u64>,
    pending: RefCell<HashMap<u64, UnboundedSender<(NodeName, NodeTimeline)>>>,
}

impl TimelineRequests {
    pub(super) fn add(&self, link: Link) {
        self.links.borrow_mut().insert(link.id(), link);
    }

    pub(super) fn remove(&self, link: LinkId) {
        self.links.borrow_mut().remove(&link);
    }

    /// Passes a reply to its request, if that is still pending.
    pub(super) fn complete(&self, peer: NodeName, nonce: u64, share: NodeTimeline) {
        if let Some(sender) = self.pending.borrow().get(&nonce) {
            let _ = sender.unbounded_send((peer, share));
        }
    }

    /// Requests the entries of all connected processes; returns the replies and the names of the
    /// processes that did not reply before `deadline`.
    pub(super) async fn request(
        &self,
        since: HlcTimestamp,
        deadline: Instant,
    ) -> (BTreeMap<NodeName, NodeTimeline>, Vec<NodeName>) {
        let nonce = self.nonce.get() + 1;
        self.nonce.set(nonce);
        let (sender, mut replies) = mpsc::unbounded();
        self.pending.borrow_mut().insert(nonce, sender);
        let peers = self.peers();
        for link in peers.values() {
            link.send(Message::TimelineRequest { nonce, since });
        }
        let mut shares = BTreeMap::new();
        while shares.len() < peers.len()
            && let Ok(Some((peer, share))) = timeout_at(deadline, replies.next()).await
        {
            shares.insert(peer, share);
        }
        self.pending.borrow_mut().remove(&nonce);
        let unanswered = peers.into_keys().filter(|peer| !shares.contains_key(peer));
        let missing = unanswered.collect();
        (shares, missing)
    }

    /// The newest link to each process.
    fn peers(&self) -> BTreeMap<NodeName, Link> {
        let links = self.links.borrow();
        let peers = links
            .values()
            .map(|link| (link.peer().node.clone(), link.clone()));
        peers.collect()
    }
}
