//! A pool in the state.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::name::ServiceName;
use crate::name::TeamName;

/// A set of hosts that run one service, or a spare pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Service that the hosts run; `None` for a spare pool.
    pub service: Option<ServiceName>,
    /// Whether the service accepts requests without a key.
    pub open: bool,
    /// Teams that may use the service; empty means every team.
    pub teams: BTreeSet<TeamName>,
    /// Maximum number of hosts that may be out of service at once, failed ones included.
    pub budget: u32,
}
