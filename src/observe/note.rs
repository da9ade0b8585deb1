//! What a decision explains about itself.

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::observe::NoteKind;

/// One decision for the time line: what was decided, about what, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// What was decided.
    pub kind: NoteKind,
    /// Why, in a few words.
    pub cause: String,
    /// The caller's or the system's identity of the request.
    pub request: Option<String>,
    /// The team.
    pub team: Option<TeamName>,
    /// The service.
    pub service: Option<ServiceName>,
    /// The host.
    pub host: Option<HostName>,
    /// The data centre.
    pub dc: Option<DcName>,
    /// The process.
    pub node: Option<NodeName>,
}

impl Note {
    /// A note that names no subject yet.
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

    /// The same about a request.
    #[must_use]
    pub fn request(mut self, request: impl ToString) -> Self {
        self.request = Some(request.to_string());
        self
    }

    /// The same about a team.
    #[must_use]
    pub fn team(mut self, team: &TeamName) -> Self {
        self.team = Some(team.clone());
        self
    }

    /// The same about a service.
    #[must_use]
    pub fn service(mut self, service: &ServiceName) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// The same about a host.
    #[must_use]
    pub fn host(mut self, host: &HostName) -> Self {
        self.host = Some(host.clone());
        self
    }

    /// The same about a data centre.
    #[must_use]
    pub fn dc(mut self, dc: &DcName) -> Self {
        self.dc = Some(dc.clone());
        self
    }

    /// The same about a process.
    #[must_use]
    pub fn node(mut self, node: &NodeName) -> Self {
        self.node = Some(node.clone());
        self
    }
}
