//! Reasons to pause maintenance, and detection of hosts that do not return from a reboot.

use std::fmt;

use crate::name::DcName;
use crate::name::HostName;
use crate::record::Host;
use crate::record::State;
use crate::record::Upkeep;
use crate::record::UpkeepPhase;
use crate::upkeep::FILLING_MS;
use crate::upkeep::Policy;

/// Reason to pause maintenance in the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PauseReason {
    /// Operators have taken a data centre out of service.
    DcOut(DcName),
    /// A data centre has returned to service and is being filled.
    DcFilling(DcName),
    /// This many hosts have not returned from their reboots.
    Stuck(usize),
}

impl PauseReason {
    /// The reason to pause maintenance at `now`, in Unix milliseconds; none if it may go on.
    #[must_use]
    pub fn of(state: &State, policy: &Policy, now: u64) -> Option<Self> {
        if let Some((dc, _)) = state.dcs.iter().find(|(_, active)| !**active) {
            return Some(Self::DcOut(dc.clone()));
        }
        let filling = |returned_at: u64| returned_at <= now && now < returned_at + FILLING_MS;
        if let Some((dc, _)) = state.reactivated.iter().find(|(_, at)| filling(**at)) {
            return Some(Self::DcFilling(dc.clone()));
        }
        let stuck = stuck_hosts(state, policy, now).count();
        (stuck >= policy.stuck_limit).then_some(Self::Stuck(stuck))
    }
}

impl fmt::Display for PauseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DcOut(dc) => write!(f, "data centre {dc} is out of service"),
            Self::DcFilling(dc) => write!(f, "data centre {dc} is being filled"),
            Self::Stuck(count) => write!(f, "{count} hosts have not come back from reboots"),
        }
    }
}

/// Whether a host should have returned from its reboot by `now`.
pub(super) fn is_overdue(upkeep: &Upkeep, policy: &Policy, now: u64) -> bool {
    upkeep.phase == UpkeepPhase::Rebooting && now > upkeep.since + policy.reboot_ms
}

/// Hosts that have not returned from their reboot in time, while they still block their pool
/// (`hold_ms`), except those that operators have taken out of service.
pub(super) fn stuck_hosts<'a>(
    state: &'a State,
    policy: &'a Policy,
    now: u64,
) -> impl Iterator<Item = (&'a HostName, &'a Host)> {
    let is_blocking = move |upkeep: &Upkeep| now < upkeep.since + policy.reboot_ms + policy.hold_ms;
    let is_stuck = move |host: &Host| {
        let upkeep = host.upkeep.as_ref();
        upkeep.is_some_and(|upkeep| is_overdue(upkeep, policy, now) && is_blocking(upkeep))
    };
    let hosts = state.hosts.iter();
    hosts.filter(move |(_, host)| state.is_in_service(host) && is_stuck(host))
}
