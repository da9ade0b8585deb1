//! Hosts on which requests failed.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::HostName;
use crate::wire::RequestId;

/// How long a request's failures are kept after the last one, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Maximum number of failed requests that are kept.
const REQUEST_LIMIT: usize = 4_096;

#[derive(Debug)]
struct FailedRequest {
    hosts: BTreeSet<HostName>,
    expires: Instant,
}

/// Hosts on which requests failed, by request.
#[derive(Debug, Default)]
pub struct FailedRequests {
    requests: HashMap<RequestId, FailedRequest>,
}

impl FailedRequests {
    /// Records a failure. At [`REQUEST_LIMIT`], a failure of a further request is not recorded;
    /// instead, expired requests are removed to make room for later ones.
    pub fn add(&mut self, now: Instant, request: RequestId, host: &HostName) {
        if self.requests.len() >= REQUEST_LIMIT && !self.requests.contains_key(&request) {
            self.expire(now);
            return;
        }
        let expires = now + Duration::from_millis(RETENTION_MS);
        let failed = self
            .requests
            .entry(request)
            .or_insert_with(|| FailedRequest {
                hosts: BTreeSet::new(),
                expires,
            });
        failed.hosts.insert(host.clone());
        failed.expires = expires;
    }

    /// Removes the failures of a request.
    pub fn remove(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Hosts on which a request failed.
    pub fn hosts(&self, request: RequestId) -> impl Iterator<Item = &HostName> {
        self.requests
            .get(&request)
            .into_iter()
            .flat_map(|failed| &failed.hosts)
    }

    /// Removes requests whose retention time has passed.
    pub fn expire(&mut self, now: Instant) {
        self.requests.retain(|_, failed| now < failed.expires);
    }
}
