//! The processes whose majority counts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Addresses of the fleet processes, as every process has them in its settings.
///
/// They do not follow the membership: a process that is cut off could not know that the
/// membership has moved on, and two majorities need not have a member in common then.
#[derive(Debug, Clone, Default)]
pub struct Voters {
    addrs: BTreeSet<SocketAddr>,
    own: Option<SocketAddr>,
}

impl Voters {
    /// The voters at `addrs`, among them this process if it serves one of them, `own`.
    #[must_use]
    pub fn new(addrs: impl IntoIterator<Item = SocketAddr>, own: Option<SocketAddr>) -> Self {
        let addrs = BTreeSet::from_iter(addrs);
        let own = own.filter(|own| addrs.contains(own));
        Self { addrs, own }
    }

    /// This process's own address, if it is a voter.
    #[must_use]
    pub const fn own(&self) -> Option<SocketAddr> {
        self.own
    }

    /// Whether a voter other than this process has the address.
    #[must_use]
    pub fn has_other(&self, addr: SocketAddr) -> bool {
        self.addrs.contains(&addr) && self.own != Some(addr)
    }

    /// The smallest number of voters that is more than half of them.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.addrs.len() / 2 + 1
    }
}
