//! Which member has a role for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::NodeName;
use crate::record::Role;
use crate::record::State;

/// Picks a member of `role` that is not leaving, by rendezvous hashing: when a member comes or
/// goes, only its own keys move.
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
