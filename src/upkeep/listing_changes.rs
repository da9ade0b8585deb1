//! Hosts that the platform lists as leaving, or no longer lists.

use crate::record::Change;
use crate::record::State;
use crate::upkeep::Listing;

/// Marks to append so that the state agrees with the platform's list.
///
/// A list by which more than half of the hosts leave at once is taken for broken, and ignored.
#[must_use]
pub fn listing_changes(state: &State, listing: &Listing) -> Vec<Change> {
    let news = || {
        let hosts = state.hosts.iter();
        hosts.filter(|(name, host)| {
            host.leaving == listing.is_live(name) && listing.as_of > host.listed
        })
    };
    let leaving = news().filter(|(_, host)| !host.leaving).count();
    if leaving * 2 > state.hosts.len() {
        return Vec::new();
    }
    let marks = news().map(|(name, host)| Change::Listed {
        host: name.clone(),
        leaving: !host.leaving,
        seen: listing.as_of,
    });
    marks.collect()
}
