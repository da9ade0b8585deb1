//! The platform's list of hosts.

use std::collections::BTreeMap;

use crate::name::HostName;

/// A host as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedHost {
    /// Whether it takes part; false if it is about to go.
    pub live: bool,
    /// Id of the last reboot that the platform has finished on request, 0 if none.
    pub reboot: u64,
}

/// The platform's list of hosts, as it was some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Unix time in milliseconds of which the list is.
    pub as_of: u64,
    /// Hosts by name; a host that is gone is missing.
    pub hosts: BTreeMap<HostName, ListedHost>,
}

impl Listing {
    /// Whether the host takes part.
    #[must_use]
    pub fn is_live(&self, host: &HostName) -> bool {
        self.hosts.get(host).is_some_and(|listed| listed.live)
    }

    /// Whether the host takes part, and has done so since the reboot `plan`.
    #[must_use]
    pub fn is_rebooted(&self, host: &HostName, plan: u64) -> bool {
        let listed = self.hosts.get(host);
        listed.is_some_and(|listed| listed.live && listed.reboot == plan)
    }
}
