//! Questions for the time lines of other processes.

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

/// The links that stand, and the questions that are open.
#[derive(Debug, Default)]
pub(super) struct Recalls {
    links: RefCell<BTreeMap<LinkId, Link>>,
    nonce: Cell<u64>,
    open: RefCell<HashMap<u64, UnboundedSender<(NodeName, NodeTimeline)>>>,
}

impl Recalls {
    pub(super) fn add(&self, link: Link) {
        self.links.borrow_mut().insert(link.id(), link);
    }

    pub(super) fn remove(&self, link: LinkId) {
        self.links.borrow_mut().remove(&link);
    }

    /// Hands an answer to the question that it belongs to, if that is still open.
    pub(super) fn answer(&self, peer: NodeName, nonce: u64, share: NodeTimeline) {
        if let Some(sender) = self.open.borrow().get(&nonce) {
            let _ = sender.unbounded_send((peer, share));
        }
    }

    /// Asks every process that is connected; gives the answers and the names of those that gave
    /// none before `deadline`.
    pub(super) async fn ask(
        &self,
        since: HlcTimestamp,
        deadline: Instant,
    ) -> (BTreeMap<NodeName, NodeTimeline>, Vec<NodeName>) {
        let nonce = self.nonce.get() + 1;
        self.nonce.set(nonce);
        let (sender, mut answers) = mpsc::unbounded();
        self.open.borrow_mut().insert(nonce, sender);
        let peers = self.peers();
        for link in peers.values() {
            link.send(Message::Recall { nonce, since });
        }
        let mut shares = BTreeMap::new();
        while shares.len() < peers.len()
            && let Ok(Some((peer, share))) = timeout_at(deadline, answers.next()).await
        {
            shares.insert(peer, share);
        }
        self.open.borrow_mut().remove(&nonce);
        let silent = peers.into_keys().filter(|peer| !shares.contains_key(peer));
        let missing = silent.collect();
        (shares, missing)
    }

    /// One link to each process: the newest.
    fn peers(&self) -> BTreeMap<NodeName, Link> {
        let links = self.links.borrow();
        let peers = links
            .values()
            .map(|link| (link.peer().node.clone(), link.clone()));
        peers.collect()
    }
}
