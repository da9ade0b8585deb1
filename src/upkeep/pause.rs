//! Why maintenance waits.

use std::fmt;

use crate::name::DcName;
use crate::name::HostName;
use crate::record::Host;
use crate::record::State;
use crate::record::Upkeep;
use crate::record::UpkeepPhase;
use crate::upkeep::FILLING_MS;
use crate::upkeep::Policy;

/// Why maintenance waits everywhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pause {
    /// Operators have taken a data centre out.
    DcOut(DcName),
    /// A data centre is being filled again.
    DcFilling(DcName),
    /// Hosts have not come back from their reboots.
    Stuck(usize),
}

impl Pause {
    /// Why maintenance waits now, if it does.
    #[must_use]
    pub fn of(state: &State, policy: &Policy, now: u64) -> Option<Self> {
        if let Some((dc, _)) = state.dcs.iter().find(|(_, active)| !**active) {
            return Some(Self::DcOut(dc.clone()));
        }
        let filling = |returned: u64| returned <= now && now < returned + FILLING_MS;
        if let Some((dc, _)) = state.reactivated.iter().find(|(_, at)| filling(**at)) {
            return Some(Self::DcFilling(dc.clone()));
        }
        let stuck = stuck_hosts(state, policy, now).count();
        (stuck >= policy.stuck_limit).then_some(Self::Stuck(stuck))
    }
}

impl fmt::Display for Pause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DcOut(dc) => write!(f, "data centre {dc} is out of service"),
            Self::DcFilling(dc) => write!(f, "data centre {dc} is being filled"),
            Self::Stuck(count) => write!(f, "{count} hosts have not come back from reboots"),
        }
    }
}

/// Whether a host should be back from its reboot.
pub(super) fn is_overdue(upkeep: &Upkeep, policy: &Policy, now: u64) -> bool {
    upkeep.phase == UpkeepPhase::Rebooting && now > upkeep.since + policy.reboot_ms
}

/// Hosts lately rebooted that have not come back in time, and that operators have not taken out.
pub(super) fn stuck_hosts<'a>(
    state: &'a State,
    policy: &'a Policy,
    now: u64,
) -> impl Iterator<Item = (&'a HostName, &'a Host)> {
    let held = move |upkeep: &Upkeep| now < upkeep.since + policy.reboot_ms + policy.hold_ms;
    let is_stuck = move |host: &Host| {
        let upkeep = host.upkeep.as_ref();
        upkeep.is_some_and(|upkeep| is_overdue(upkeep, policy, now) && held(upkeep))
    };
    let hosts = state.hosts.iter();
    hosts.filter(move |(_, host)| state.is_in_service(host) && is_stuck(host))
}
