//! The configured set of voters.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Addresses of the fleet processes, the same in the settings of every process.
///
/// They do not follow the membership: a partitioned process would not learn of membership changes,
/// and the majorities of two different memberships need not overlap.
#[derive(Debug, Clone, Default)]
pub struct Voters {
    addrs: BTreeSet<SocketAddr>,
    own: Option<SocketAddr>,
}

impl Voters {
    /// Creates the set of voters at `addrs`. `own` is the address of this process; it is ignored
    /// unless it is one of `addrs`.
    #[must_use]
    pub fn new(addrs: impl IntoIterator<Item = SocketAddr>, own: Option<SocketAddr>) -> Self {
        let addrs = BTreeSet::from_iter(addrs);
        let own = own.filter(|own| addrs.contains(own));
        Self { addrs, own }
    }

    /// Address of this process, if it is a voter.
    #[must_use]
    pub const fn own(&self) -> Option<SocketAddr> {
        self.own
    }

    /// Whether `addr` belongs to a voter other than this process.
    #[must_use]
    pub fn has_other(&self, addr: SocketAddr) -> bool {
        self.addrs.contains(&addr) && self.own != Some(addr)
    }

    /// Smallest number of voters that forms a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.addrs.len() / 2 + 1
    }
}
