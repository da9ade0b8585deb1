//! What the schedulers report about services and draining hosts.

use std::collections::BTreeMap;

use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::record::Role;
use crate::record::State;
use crate::wire::ServiceLoad;

/// Age at which a report no longer counts, in milliseconds.
const STALE_MS: u64 = 5_000;

#[derive(Debug)]
struct Report {
    incarnation: u64,
    expires: u64,
    offset: u64,
    complete: bool,
    loads: Vec<ServiceLoad>,
}

/// The last report of each scheduler.
#[derive(Debug, Default)]
pub struct LoadReports {
    nodes: BTreeMap<NodeName, Report>,
}

impl LoadReports {
    /// Takes in the report of a scheduler, named with its incarnation, that has folded the records
    /// before `offset`; `complete` if it has heard from all gates what they run.
    pub fn record(
        &mut self,
        now: u64,
        (node, incarnation): (NodeName, u64),
        offset: u64,
        complete: bool,
        loads: Vec<ServiceLoad>,
    ) {
        let report = Report {
            incarnation,
            expires: now + STALE_MS,
            offset,
            complete,
            loads,
        };
        self.nodes.insert(node, report);
    }

    /// Forgets reports that no longer count.
    pub fn expire(&mut self, now: u64) {
        self.nodes.retain(|_, report| now < report.expires);
    }

    /// Slots that a service could use, if a scheduler reports on it.
    #[must_use]
    pub fn need(&self, service: &ServiceName) -> Option<u32> {
        let loads = self.nodes.values().flat_map(|report| &report.loads);
        let needs = loads
            .filter(|load| load.service == *service)
            .map(|load| load.running + load.waiting);
        needs.reduce(u32::saturating_add)
    }

    /// Whether all schedulers know the record at `offset`, and none runs anything on the host.
    #[must_use]
    pub fn is_empty(&self, state: &State, host: &HostName, offset: u64) -> bool {
        let mut schedulers = state.members_of(Role::Sched).peekable();
        schedulers.peek().is_some()
            && schedulers.all(|(node, member)| {
                let report = self.nodes.get(node);
                report.is_some_and(|report| {
                    report.complete
                        && report.incarnation == member.incarnation
                        && report.offset > offset
                })
            })
            && !self.nodes.values().any(|report| report.runs_on(host))
    }
}

impl Report {
    fn runs_on(&self, host: &HostName) -> bool {
        let mut busy = self.loads.iter().flat_map(|load| &load.busy);
        busy.any(|busy| busy.host == *host && busy.used > 0)
    }
}
