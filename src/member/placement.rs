//! Placement of keys on members.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::NodeName;
use crate::record::Role;
use crate::record::State;

/// Selects the member of `role` that is responsible for `key` by rendezvous hashing, so that only
/// the keys of a member move when it joins or leaves. Members that are leaving are not selected;
/// `None` if no other has the role.
#[must_use]
pub fn place<'a>(state: &'a State, role: Role, key: &[u8]) -> Option<&'a NodeName> {
    let seed = xxh3_64_with_seed(key, 0);
    let weight = |name: &NodeName| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
    state
        .members_of(role)
        .filter(|(_, member)| !member.leaving)
        .map(|(name, _)| name)
        .max_by_key(|&name| (weight(name), name))
}
