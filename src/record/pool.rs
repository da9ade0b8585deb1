//! A pool in the folded state.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::name::ServiceName;
use crate::name::TeamName;

/// A set of hosts that serve one service, or the spare pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Service that the pool's hosts run; none for a spare pool.
    pub service: Option<ServiceName>,
    /// Whether the service takes requests without a key.
    pub open: bool,
    /// Teams that may use the service; every team if empty.
    pub teams: BTreeSet<TeamName>,
    /// Most hosts of the pool that may be out of service at once, losses included.
    pub budget: u32,
}
