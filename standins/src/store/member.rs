//! Members of the consumer group.

use std::collections::BTreeSet;

/// Number of partitions of a topic.
pub(super) const PARTITIONS: u64 = 12;

/// A member of the consumer group and the partitions assigned to it.
pub(super) struct Member {
    /// Its name in the group.
    pub(super) name: String,
    /// The partitions assigned to it.
    pub(super) partitions: BTreeSet<u64>,
}

impl Member {
    /// A member without partitions.
    pub(super) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            partitions: BTreeSet::new(),
        }
    }
}

/// Assigns the partitions evenly, with as few moves as possible.
pub(super) fn rebalance(members: &mut [Member]) {
    if members.is_empty() {
        return;
    }
    let assigned: BTreeSet<u64> = members
        .iter()
        .flat_map(|member| member.partitions.clone())
        .collect();
    let mut unassigned: BTreeSet<u64> = (0..PARTITIONS)
        .filter(|partition| !assigned.contains(partition))
        .collect();
    let limit = PARTITIONS.div_ceil(members.len() as u64) as usize;
    for member in members.iter_mut() {
        while member.partitions.len() > limit {
            unassigned.extend(member.partitions.pop_first());
        }
    }
    while let Some(partition) = unassigned.pop_first() {
        let smallest = members
            .iter_mut()
            .min_by_key(|member| member.partitions.len());
        if let Some(member) = smallest {
            member.partitions.insert(partition);
        }
    }
}
