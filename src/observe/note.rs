//! Explanation of a decision.

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::observe::NoteKind;

/// A decision on the timeline: what was decided, about what, and why.
///
/// A subject field is empty if the decision is not about such a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Kind of the decision.
    pub kind: NoteKind,
    /// Reason in a few words; truncated to `TEXT_LIMIT` bytes when recorded.
    pub cause: String,
    /// Request id: the client's own if it sent one, else the one assigned to the request.
    pub request: Option<String>,
    /// Team concerned.
    pub team: Option<TeamName>,
    /// Service concerned.
    pub service: Option<ServiceName>,
    /// Host concerned.
    pub host: Option<HostName>,
    /// Data centre concerned.
    pub dc: Option<DcName>,
    /// Process concerned; the one that decided is on the event.
    pub node: Option<NodeName>,
}

impl Note {
    /// Creates a note without a subject.
    #[must_use]
    pub fn new(kind: NoteKind, cause: impl Into<String>) -> Self {
        Self {
            kind,
            cause: cause.into(),
            request: None,
            team: None,
            service: None,
            host: None,
            dc: None,
            node: None,
        }
    }

    /// Sets the request concerned.
    #[must_use]
    pub fn request(mut self, request: impl ToString) -> Self {
        self.request = Some(request.to_string());
        self
    }

    /// Sets the team concerned.
    #[must_use]
    pub fn team(mut self, team: &TeamName) -> Self {
        self.team = Some(team.clone());
        self
    }

    /// Sets the service concerned.
    #[must_use]
    pub fn service(mut self, service: &ServiceName) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Sets the host concerned.
    #[must_use]
    pub fn host(mut self, host: &HostName) -> Self {
        self.host = Some(host.clone());
        self
    }

    /// Sets the data centre concerned.
    #[must_use]
    pub fn dc(mut self, dc: &DcName) -> Self {
        self.dc = Some(dc.clone());
        self
    }

    /// Sets the process concerned.
    #[must_use]
    pub fn node(mut self, node: &NodeName) -> Self {
        self.node = Some(node.clone());
        self
    }
}
