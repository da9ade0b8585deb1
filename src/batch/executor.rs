//! Executors as the platform lists them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::batch::Resources;
use crate::name::DcName;
use crate::name::ExecutorId;
use crate::name::HostName;
use crate::name::ServiceName;

/// Whether a host can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostPhase {
    /// It's up.
    Up,
    /// It's on its way to another pool.
    Moving,
    /// It's down for its upkeep.
    Upkeep,
    /// It's down for another reason.
    Down,
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// Service whose pool it is in.
    pub pool: ServiceName,
    /// Whether it can be used.
    pub phase: HostPhase,
    /// Its data centre.
    pub dc: DcName,
    /// What it has.
    pub capacity: Resources,
}

/// What an executor says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executor {
    /// Its id.
    pub id: ExecutorId,
    /// The host of which it is one life, if it tells.
    pub host: Option<HostName>,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DcName,
    /// It leaves soon.
    pub draining: bool,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// When this life of it began, in Unix milliseconds.
    pub born: u64,
}
