//! Links to the schedulers.

use std::collections::BTreeMap;

use crate::member::place;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::net::LinkId;
use crate::record::Role;
use crate::record::State;

/// The links that stand, with the incarnations behind them.
#[derive(Debug, Default)]
pub struct SchedulerLinks {
    nodes: BTreeMap<NodeName, (LinkId, u64)>,
}

impl SchedulerLinks {
    /// Adds a link; it replaces an earlier one to the same process.
    pub fn add(&mut self, node: NodeName, link: LinkId, incarnation: u64) {
        self.nodes.insert(node, (link, incarnation));
    }

    /// Drops a link.
    pub fn remove(&mut self, link: LinkId) {
        self.nodes.retain(|_, (id, _)| *id != link);
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// All links.
    pub fn all(&self) -> impl Iterator<Item = LinkId> {
        self.nodes.values().map(|(link, _)| *link)
    }

    /// Link to the scheduler that a service is placed on.
    #[must_use]
    pub fn owner(&self, state: &State, service: &ServiceName) -> Option<LinkId> {
        let node = place(state, Role::Sched, service.as_str().as_bytes())?;
        let (link, incarnation) = self.nodes.get(node)?;
        let current = state.members.get(node)?.incarnation;
        (current == *incarnation).then_some(*link)
    }

    /// Whether the process at the other end is a member.
    #[must_use]
    pub fn is_member(&self, state: &State, link: LinkId) -> bool {
        let peer = self.nodes.iter().find(|(_, (id, _))| *id == link);
        peer.is_some_and(|(node, (_, incarnation))| {
            let member = state.members.get(node);
            member.is_some_and(|m| m.incarnation == *incarnation)
        })
    }
}
