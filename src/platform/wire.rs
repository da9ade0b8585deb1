//! JSON bodies of the platform's API for hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::name::HostName;
use crate::upkeep::ListedHost;
use crate::upkeep::Listing;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateWire {
    Live,
    Leaving,
}

/// A host in the list.
#[derive(Debug, Deserialize)]
struct HostWire {
    name: String,
    state: StateWire,
    /// Id of the last completed reboot; 0 if there was none.
    #[serde(default)]
    reboot: u64,
}

/// The list of hosts as of a time, in Unix milliseconds.
#[derive(Debug, Deserialize)]
pub(super) struct ListWire {
    #[serde(rename = "as_of_ms")]
    as_of: u64,
    hosts: Vec<HostWire>,
}

/// A request for a reboot.
#[derive(Debug, Serialize)]
pub(super) struct RebootWire {
    pub(super) id: u64,
}

// Hosts whose names are not valid are skipped: the platform may list hosts that operators have not
// registered, under arbitrary names.
impl From<ListWire> for Listing {
    fn from(wire: ListWire) -> Self {
        let hosts = wire.hosts.into_iter().filter_map(|host| {
            let listed = ListedHost {
                live: host.state == StateWire::Live,
                reboot: host.reboot,
            };
            Some((HostName::new(&host.name).ok()?, listed))
        });
        Self {
            as_of: wire.as_of,
            hosts: hosts.collect(),
        }
    }
}
