//! Health of one service's hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::health::HealthChange;
use crate::health::ejection::Ejection;
use crate::health::failed_requests::FailedRequests;
use crate::health::host_record::HostRecord;
use crate::name::HostName;
use crate::name::TeamName;
use crate::wire::Evidence;
use crate::wire::RequestId;

/// Consecutive failed requests after which a host is ejected.
const FAILED_LIMIT: usize = 5;
/// Healthy hosts on which a request has to fail to be at fault itself.
const FAULT_HOSTS: usize = 2;
/// Part of the hosts that may be ejected, as a divisor; at least one host.
const EJECTED_DIVISOR: usize = 5;
/// How long a served request counts as evidence for its host and its team, in milliseconds.
const SUCCESS_WINDOW_MS: u64 = 10_000;

/// Evidence about hosts and requests, and the resulting ejections of hosts.
///
/// A failure counts against a host only if the team's requests are served on other hosts, and the
/// request has not failed on another healthy host. So neither a request that fails everywhere nor
/// a team whose requests all fail can get a host ejected.
#[derive(Debug, Default)]
pub struct Health {
    hosts: BTreeMap<HostName, HostRecord>,
    /// When each host last served a request of a team.
    teams: BTreeMap<TeamName, BTreeMap<HostName, Instant>>,
    failed_requests: FailedRequests,
}

impl Health {
    /// Replaces the set of hosts; records of hosts that stay are kept.
    pub fn update(&mut self, hosts: impl Iterator<Item = HostName>) {
        let hosts: BTreeSet<HostName> = hosts.collect();
        self.hosts.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.hosts.entry(host).or_default();
        }
    }

    /// Records the evidence of a finished attempt, and returns the change of its host's health, if
    /// any.
    pub fn record(
        &mut self,
        now: Instant,
        host: &HostName,
        team: &TeamName,
        request: RequestId,
        evidence: Evidence,
    ) -> Option<HealthChange> {
        match evidence {
            Evidence::Nothing => None,
            Evidence::Served => self.record_success(now, host, team, request),
            Evidence::Failed => {
                self.failed_requests.add(now, request, host);
                self.clear_at_fault(now, request);
                self.record_failure(now, host, team, request)
            }
            Evidence::Unreachable => self.record_failure(now, host, team, request),
        }
    }

    /// Whether a host that runs `running` attempts may be assigned another. An ejected host gets one
    /// request at a time once its trial is due.
    #[must_use]
    pub fn may_assign(&self, now: Instant, host: &HostName, running: u32) -> bool {
        let ejection = self.hosts.get(host).and_then(|h| h.ejection.as_ref());
        ejection.is_none_or(|ejection| ejection.trial_at <= now && running == 0)
    }

    /// Whether a request itself is at fault: it has failed on several hosts that are healthy.
    #[must_use]
    pub fn is_at_fault(&self, now: Instant, request: RequestId) -> bool {
        let hosts = self.failed_requests.hosts(request);
        hosts.filter(|host| self.is_healthy(now, host)).count() >= FAULT_HOSTS
    }

    /// Number of ejected hosts.
    #[must_use]
    pub fn ejected(&self) -> usize {
        let ejected = |record: &&HostRecord| record.ejection.is_some();
        self.hosts.values().filter(ejected).count()
    }

    /// Forgets failed requests older than their retention time.
    pub fn expire(&mut self, now: Instant) {
        self.failed_requests.expire(now);
    }

    fn record_success(
        &mut self,
        now: Instant,
        host: &HostName,
        team: &TeamName,
        request: RequestId,
    ) -> Option<HealthChange> {
        let record = self.hosts.get_mut(host)?;
        record.failed.clear();
        record.served_at = Some(now);
        let passed_trial = record.ejection.as_ref().is_some_and(|e| e.trial_at <= now);
        if passed_trial {
            record.ejection = None;
        }
        self.failed_requests.remove(request);
        let served = self.teams.entry(team.clone()).or_default();
        served.insert(host.clone(), now);
        passed_trial.then_some(HealthChange::Readmitted)
    }

    fn record_failure(
        &mut self,
        now: Instant,
        host: &HostName,
        team: &TeamName,
        request: RequestId,
    ) -> Option<HealthChange> {
        let counts = self.is_evidence(now, host, team, request);
        let room = self.ejected() < (self.hosts.len() / EJECTED_DIVISOR).max(1);
        let record = self.hosts.get_mut(host)?;
        if let Some(ejection) = &mut record.ejection {
            if now < ejection.trial_at {
                return None;
            }
            ejection.postpone(now);
            return Some(HealthChange::TrialFailed);
        }
        if counts {
            record.failed.insert(request);
        }
        if record.failed.len() < FAILED_LIMIT || !room {
            return None;
        }
        record.failed.clear();
        record.ejection = Some(Ejection::begin(now));
        Some(HealthChange::Ejected)
    }

    /// Whether a failure counts against its host.
    fn is_evidence(
        &self,
        now: Instant,
        host: &HostName,
        team: &TeamName,
        request: RequestId,
    ) -> bool {
        let served = self.teams.get(team).into_iter().flatten();
        let elsewhere = |(other, at): (&HostName, &Instant)| other != host && is_recent(now, *at);
        let mut others = self
            .failed_requests
            .hosts(request)
            .filter(|other| *other != host);
        served.into_iter().any(elsewhere) && !others.any(|other| self.is_healthy(now, other))
    }

    /// If the request itself is at fault, removes its failures from the records of all hosts.
    fn clear_at_fault(&mut self, now: Instant, request: RequestId) {
        if self.is_at_fault(now, request) {
            for record in self.hosts.values_mut() {
                record.failed.remove(&request);
            }
        }
    }

    /// Whether a host has recently served a request, is not ejected, and has not failed enough
    /// requests since then to be ejected.
    fn is_healthy(&self, now: Instant, host: &HostName) -> bool {
        self.hosts.get(host).is_some_and(|record| {
            let served = record.served_at.is_some_and(|at| is_recent(now, at));
            served && record.ejection.is_none() && record.failed.len() < FAILED_LIMIT
        })
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now < at + Duration::from_millis(SUCCESS_WINDOW_MS)
}
