//! Evidence of an attempt about the health of its host.

use serde::Deserialize;
use serde::Serialize;

/// What the result of an attempt indicates about its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The backend server responded without a server error.
    Served,
    /// The backend server accepted it and it failed: the host or the job is at fault.
    Failed,
    /// The backend server could not be reached: the job is not at fault.
    Unreachable,
    /// No evidence, for instance because all slots were busy or the caller disconnected.
    Nothing,
}
