//! Reconciliation of the state with the platform's list of hosts.

use crate::record::Change;
use crate::record::State;
use crate::upkeep::Listing;

/// Changes to append so that the state agrees with the platform's list about which hosts leave.
///
/// A list according to which more than half of the hosts leave at once is considered broken, and
/// ignored.
#[must_use]
pub fn listing_changes(state: &State, listing: &Listing) -> Vec<Change> {
    let outdated = || {
        let hosts = state.hosts.iter();
        hosts.filter(|(name, host)| {
            host.leaving == listing.is_live(name) && listing.as_of > host.listed
        })
    };
    let leaving = outdated().filter(|(_, host)| !host.leaving).count();
    if leaving * 2 > state.hosts.len() {
        return Vec::new();
    }
    let changes = outdated().map(|(name, host)| Change::Listed {
        host: name.clone(),
        leaving: !host.leaving,
        seen: listing.as_of,
    });
    changes.collect()
}
