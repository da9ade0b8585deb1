//! What is known of one host.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::health::ejection::Ejection;
use crate::wire::RequestId;

/// Failures of one host since it last served a request.
#[derive(Debug, Clone, Default)]
pub struct HostRecord {
    /// Requests that speak against the host.
    pub failed: BTreeSet<RequestId>,
    /// When it last served a request.
    pub served: Option<Instant>,
    /// Its ejection, if it gets no work.
    pub ejection: Option<Ejection>,
}
