//! The standing of one service's hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::health::HealthChange;
use crate::health::ejection::Ejection;
use crate::health::host_record::HostRecord;
use crate::health::jobs::Jobs;
use crate::name::HostName;
use crate::name::TeamName;
use crate::wire::Evidence;
use crate::wire::RequestId;

/// Requests in a row that a host fails before it is ejected.
const FAILED_LIMIT: usize = 5;
/// Hosts in good standing that a request fails on before it is the culprit.
const JOB_HOSTS: usize = 2;
/// Part of the hosts that may be ejected: one in so many, and at least one.
const EJECTED_PART: usize = 5;
/// How long a served request speaks for its host and its team, in milliseconds.
const SERVED_MS: u64 = 10_000;

/// Evidence on hosts and requests, and what follows from it.
///
/// A failure speaks against a host only if its team is served elsewhere, and the request has not
/// failed on another host that serves others well; so neither a request that fails everywhere nor
/// a team whose requests all fail ejects a host.
#[derive(Debug, Default)]
pub struct Health {
    hosts: BTreeMap<HostName, HostRecord>,
    teams: BTreeMap<TeamName, BTreeMap<HostName, Instant>>,
    jobs: Jobs,
}

impl Health {
    /// Takes the hosts of a newer state over.
    pub fn update(&mut self, hosts: impl Iterator<Item = HostName>) {
        let hosts: BTreeSet<HostName> = hosts.collect();
        self.hosts.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.hosts.entry(host).or_default();
        }
    }

    /// Notes what an attempt says about its host.
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
            Evidence::Served => self.serve(now, host, team, request),
            Evidence::Failed => {
                self.jobs.add(now, request, host);
                self.clear_culprit(now, request);
                self.fail(now, host, team, request)
            }
            Evidence::Unreachable => self.fail(now, host, team, request),
        }
    }

    /// Whether a host may get work while it runs `running` attempts.
    #[must_use]
    pub fn may_assign(&self, now: Instant, host: &HostName, running: u32) -> bool {
        let ejection = self.hosts.get(host).and_then(|h| h.ejection.as_ref());
        ejection.is_none_or(|ejection| ejection.trial <= now && running == 0)
    }

    /// Whether a request has failed on several hosts that serve others well.
    #[must_use]
    pub fn is_at_fault(&self, now: Instant, request: RequestId) -> bool {
        let hosts = self.jobs.hosts(request);
        hosts.filter(|host| self.is_good(now, host)).count() >= JOB_HOSTS
    }

    /// Hosts that get no work.
    #[must_use]
    pub fn ejected(&self) -> usize {
        let ejected = |record: &&HostRecord| record.ejection.is_some();
        self.hosts.values().filter(ejected).count()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.jobs.expire(now);
    }

    fn serve(
        &mut self,
        now: Instant,
        host: &HostName,
        team: &TeamName,
        request: RequestId,
    ) -> Option<HealthChange> {
        let record = self.hosts.get_mut(host)?;
        record.failed.clear();
        record.served = Some(now);
        let tried = record.ejection.as_ref().is_some_and(|e| e.trial <= now);
        if tried {
            record.ejection = None;
        }
        self.jobs.remove(request);
        let served = self.teams.entry(team.clone()).or_default();
        served.insert(host.clone(), now);
        tried.then_some(HealthChange::Readmitted)
    }

    fn fail(
        &mut self,
        now: Instant,
        host: &HostName,
        team: &TeamName,
        request: RequestId,
    ) -> Option<HealthChange> {
        let credible = self.speaks_against(now, host, team, request);
        let room = self.ejected() < (self.hosts.len() / EJECTED_PART).max(1);
        let record = self.hosts.get_mut(host)?;
        if let Some(ejection) = &mut record.ejection {
            if now < ejection.trial {
                return None;
            }
            ejection.put_off(now);
            return Some(HealthChange::TrialFailed);
        }
        if credible {
            record.failed.insert(request);
        }
        if record.failed.len() < FAILED_LIMIT || !room {
            return None;
        }
        record.failed.clear();
        record.ejection = Some(Ejection::begin(now));
        Some(HealthChange::Ejected)
    }

    /// Whether a failure speaks against its host.
    fn speaks_against(
        &self,
        now: Instant,
        host: &HostName,
        team: &TeamName,
        request: RequestId,
    ) -> bool {
        let served = self.teams.get(team).into_iter().flatten();
        let elsewhere = |(other, at): (&HostName, &Instant)| other != host && is_recent(now, *at);
        let mut others = self.jobs.hosts(request).filter(|other| *other != host);
        served.into_iter().any(elsewhere) && !others.any(|other| self.is_good(now, other))
    }

    /// Takes a request that fails on good hosts off the record of every host.
    fn clear_culprit(&mut self, now: Instant, request: RequestId) {
        if self.is_at_fault(now, request) {
            for record in self.hosts.values_mut() {
                record.failed.remove(&request);
            }
        }
    }

    /// Whether a host serves others well.
    fn is_good(&self, now: Instant, host: &HostName) -> bool {
        self.hosts.get(host).is_some_and(|record| {
            let served = record.served.is_some_and(|at| is_recent(now, at));
            served && record.ejection.is_none() && record.failed.len() < FAILED_LIMIT
        })
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now < at + Duration::from_millis(SERVED_MS)
}
