//! Hosts and executors as listed by the platform.

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
    /// It is up.
    Up,
    /// It is being moved to another pool.
    Moving,
    /// It is down for maintenance.
    Maintenance,
    /// It is down for any other reason.
    Down,
}

/// A host as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Unique within the site.
    pub name: HostName,
    /// Service to whose pool it belongs.
    pub pool: ServiceName,
    /// Whether it can be used.
    pub phase: HostPhase,
    /// Its data centre.
    pub dc: DcName,
    /// Total resources.
    pub capacity: Resources,
}

/// An executor as it describes itself to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executor {
    /// Id under which it is listed; a restart may keep it.
    pub id: ExecutorId,
    /// Host that it runs on, if it states one; an order that takes the host down ends the executor.
    pub host: Option<HostName>,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Address for orders.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DcName,
    /// Whether it is about to shut down.
    pub draining: bool,
    /// Total resources.
    pub capacity: Resources,
    /// Labels of the host, among them its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// When its process started, in Unix milliseconds.
    pub born: u64,
}
