//! Health record of one host.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::health::ejection::Ejection;
use crate::wire::RequestId;

/// Failures of a host since it last served a request, and its ejection.
#[derive(Debug, Clone, Default)]
pub struct HostRecord {
    /// Failed requests that count against the host.
    pub failed: BTreeSet<RequestId>,
    /// When it last served a request; none if it never did.
    pub served_at: Option<Instant>,
    /// Its ejection; none if it gets requests as usual.
    pub ejection: Option<Ejection>,
}
