//! A caller's request as the gate decides on it.

use std::sync::Arc;
use std::time::Instant;

use crate::name::ServiceName;
use crate::record::KeyHash;
use crate::wire::RequestId;

/// Descriptor of a request; its body stays with the task that serves the caller.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Identity inside the system.
    pub request: RequestId,
    /// The caller's identity of it, if it named one.
    pub external_id: Option<Arc<str>>,
    /// Service that it addresses.
    pub service: ServiceName,
    /// Hash of the caller's key, if one was sent.
    pub key: Option<KeyHash>,
    /// Whether the caller marked it as urgent.
    pub urgent: bool,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Instant,
}
