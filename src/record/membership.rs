//! Application of membership changes to the state.

use std::collections::BTreeSet;

use crate::name::NodeName;
use crate::record::Member;
use crate::record::Rejection;
use crate::record::Role;
use crate::record::State;

impl State {
    pub(super) fn join(&mut self, node: NodeName, member: Member) -> Result<(), Rejection> {
        let last = self.incarnations.get(&node).copied();
        if let Some(last) = last.filter(|last| *last >= member.incarnation) {
            return Err(Rejection::OldIncarnation(node, last));
        }
        self.clear_suspicions(&node);
        self.incarnations.insert(node.clone(), member.incarnation);
        self.members.insert(node, member);
        self.epoch += 1;
        Ok(())
    }

    pub(super) fn leave(&mut self, node: &NodeName, incarnation: u64) -> Result<(), Rejection> {
        self.member_mut(node, incarnation)?.leaving = true;
        self.epoch += 1;
        Ok(())
    }

    pub(super) fn end(&mut self, node: &NodeName, incarnation: u64) -> Result<(), Rejection> {
        self.member_mut(node, incarnation)?;
        self.members.remove(node);
        self.clear_suspicions(node);
        self.epoch += 1;
        Ok(())
    }

    pub(super) fn suspect(
        &mut self,
        node: &NodeName,
        incarnation: u64,
        by: NodeName,
    ) -> Result<(), Rejection> {
        self.member_mut(node, incarnation)?;
        let eligible: BTreeSet<NodeName> = self
            .members_of(Role::Fleet)
            .map(|(name, _)| name.clone())
            .filter(|name| name != node)
            .collect();
        if !eligible.contains(&by) {
            return Err(Rejection::NotVoter(by));
        }
        let reporters = self.suspicions.entry(node.clone()).or_default();
        reporters.insert(by);
        let count = reporters.intersection(&eligible).count();
        if count * 2 > eligible.len() {
            return self.end(node, incarnation);
        }
        Ok(())
    }

    pub(super) fn trust(
        &mut self,
        node: &NodeName,
        incarnation: u64,
        by: &NodeName,
    ) -> Result<(), Rejection> {
        self.member_mut(node, incarnation)?;
        self.suspicions.retain(|suspect, reporters| {
            suspect != node || {
                reporters.remove(by);
                !reporters.is_empty()
            }
        });
        Ok(())
    }

    // Drops all suspicions of a process, and those that its earlier incarnation reported.
    fn clear_suspicions(&mut self, node: &NodeName) {
        self.suspicions.remove(node);
        self.suspicions.retain(|_, reporters| {
            reporters.remove(node);
            !reporters.is_empty()
        });
    }

    fn member_mut(&mut self, node: &NodeName, incarnation: u64) -> Result<&mut Member, Rejection> {
        let current = self.members.get_mut(node);
        current
            .filter(|member| member.incarnation == incarnation)
            .ok_or_else(|| Rejection::Ended(node.clone()))
    }
}
