//! The platform's list of hosts.

use std::collections::BTreeMap;

use crate::name::HostName;

/// A host as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedHost {
    /// Whether the host is in operation; false if it is about to leave.
    pub live: bool,
    /// Id of the last requested reboot that the platform has completed; 0 if none.
    pub reboot: u64,
}

/// The platform's list of hosts at a past time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Time of the list, Unix time in milliseconds.
    pub as_of: u64,
    /// Hosts by name, without those that have left.
    pub hosts: BTreeMap<HostName, ListedHost>,
}

impl Listing {
    /// Whether the host is listed as in operation.
    #[must_use]
    pub fn is_live(&self, host: &HostName) -> bool {
        self.hosts.get(host).is_some_and(|listed| listed.live)
    }

    /// Whether the host is in operation and its last reboot was `plan`.
    #[must_use]
    pub fn is_rebooted(&self, host: &HostName, plan: u64) -> bool {
        let listed = self.hosts.get(host);
        listed.is_some_and(|listed| listed.live && listed.reboot == plan)
    }
}
