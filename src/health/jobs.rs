//! Where requests failed.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::HostName;
use crate::wire::RequestId;

/// How long a request's failures are remembered, in milliseconds.
const KEPT_MS: u64 = 60_000;
/// Requests that are remembered at most.
const JOB_LIMIT: usize = 4_096;

#[derive(Debug)]
struct Job {
    hosts: BTreeSet<HostName>,
    expires: Instant,
}

/// Hosts that requests failed on.
#[derive(Debug, Default)]
pub struct Jobs {
    jobs: HashMap<RequestId, Job>,
}

impl Jobs {
    /// Notes a failure.
    pub fn add(&mut self, now: Instant, request: RequestId, host: &HostName) {
        if self.jobs.len() >= JOB_LIMIT && !self.jobs.contains_key(&request) {
            self.expire(now);
            return;
        }
        let expires = now + Duration::from_millis(KEPT_MS);
        let job = self.jobs.entry(request).or_insert_with(|| Job {
            hosts: BTreeSet::new(),
            expires,
        });
        job.hosts.insert(host.clone());
        job.expires = expires;
    }

    /// Forgets a request.
    pub fn remove(&mut self, request: RequestId) {
        self.jobs.remove(&request);
    }

    /// Hosts that a request failed on.
    pub fn hosts(&self, request: RequestId) -> impl Iterator<Item = &HostName> {
        self.jobs
            .get(&request)
            .into_iter()
            .flat_map(|job| &job.hosts)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.jobs.retain(|_, job| now < job.expires);
    }
}
