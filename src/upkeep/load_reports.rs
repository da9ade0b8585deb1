//! Load reports of the schedulers.

use std::collections::BTreeMap;

use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::record::Role;
use crate::record::State;
use crate::wire::ServiceLoad;

/// Age at which a report expires, in milliseconds.
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
    /// Stores the report of a scheduler, given by name and incarnation, that has applied the
    /// records before `offset`. `complete` says that the report covers the attempts of all gates.
    /// `now` is in Unix milliseconds.
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

    /// Removes expired reports.
    pub fn expire(&mut self, now: u64) {
        self.nodes.retain(|_, report| now < report.expires);
    }

    /// Number of slots that a service could use: those in use plus queued requests. None if no
    /// scheduler reports on it.
    #[must_use]
    pub fn demand(&self, service: &ServiceName) -> Option<u32> {
        let loads = self.nodes.values().flat_map(|report| &report.loads);
        let demands = loads
            .filter(|load| load.service == *service)
            .map(|load| load.running + load.waiting);
        demands.reduce(u32::saturating_add)
    }

    /// Whether a host is certainly empty: all schedulers have applied the record at `offset`, and
    /// none reports slots in use on the host.
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
            && !self.nodes.values().any(|report| report.is_running_on(host))
    }
}

impl Report {
    fn is_running_on(&self, host: &HostName) -> bool {
        let mut busy = self.loads.iter().flat_map(|load| &load.busy);
        busy.any(|busy| busy.host == *host && busy.used > 0)
    }
}
