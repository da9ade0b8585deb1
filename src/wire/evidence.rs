//! What an attempt says about the host that had it.

use serde::Deserialize;
use serde::Serialize;

/// Evidence for or against a host, by one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The backend server ran it and answered without a server error.
    Served,
    /// The backend server took it and it failed, so the host or the job is at fault.
    Failed,
    /// The backend server could not be reached, so the job is not at fault.
    Unreachable,
    /// Nothing, such as when all slots were busy or the caller went away.
    Nothing,
}
