//! Links to schedulers.

use std::collections::BTreeMap;

use crate::member::place;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::net::LinkId;
use crate::record::Role;
use crate::record::State;

/// Established links by scheduler, with the incarnation of each scheduler.
#[derive(Debug, Default)]
pub struct SchedulerLinks {
    nodes: BTreeMap<NodeName, (LinkId, u64)>,
}

impl SchedulerLinks {
    /// Adds a link, replacing an earlier one to a scheduler of the same name.
    pub fn add(&mut self, node: NodeName, link: LinkId, incarnation: u64) {
        self.nodes.insert(node, (link, incarnation));
    }

    /// Removes a link that was lost.
    pub fn remove(&mut self, link: LinkId) {
        self.nodes.retain(|_, (id, _)| *id != link);
    }

    /// Whether no scheduler is connected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// All established links.
    pub fn all(&self) -> impl Iterator<Item = LinkId> {
        self.nodes.values().map(|(link, _)| *link)
    }

    /// Link to the scheduler that owns a service; `None` if it is not connected.
    #[must_use]
    pub fn owner(&self, state: &State, service: &ServiceName) -> Option<LinkId> {
        let node = place(state, Role::Sched, service.as_str().as_bytes())?;
        let (link, incarnation) = self.nodes.get(node)?;
        let current = state.members.get(node)?.incarnation;
        (current == *incarnation).then_some(*link)
    }

    /// Whether the scheduler at the other end is a member, in the same incarnation.
    #[must_use]
    pub fn is_member(&self, state: &State, link: LinkId) -> bool {
        let peer = self.nodes.iter().find(|(_, (id, _))| *id == link);
        peer.is_some_and(|(node, (_, incarnation))| {
            let member = state.members.get(node);
            member.is_some_and(|m| m.incarnation == *incarnation)
        })
    }
}
