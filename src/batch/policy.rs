//! What operators have configured.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use crate::batch::Resources;
use crate::name::DcName;
use crate::name::HostName;
use crate::name::QueueName;
use crate::name::ServiceName;
use crate::name::TeamName;

/// A queue that clients hand jobs in to.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Host name of its requests.
    pub host: Arc<str>,
    /// What the paths of its requests begin with.
    pub prefix: Arc<str>,
    /// Service whose executors run its tasks.
    pub service: ServiceName,
    /// Requests need no key.
    pub public: bool,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job does.
    pub attempts: u32,
    /// The objective allows this many times a job's longest chain of work.
    pub stretch: f64,
    /// Time that the objective allows besides, in milliseconds.
    pub latency: u64,
    /// Longest wait for an answer, in milliseconds.
    pub timeout: u64,
    /// Only the advice service knows which executors may run a step.
    pub advised: bool,
}

/// A pool of executors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pool {
    /// Its executors refuse what does not fit.
    pub admission_control: bool,
    /// Its hosts are off.
    pub spare: bool,
}

/// A team's part of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Team {
    /// Its share when all is full.
    pub weight: u64,
    /// Most that it may have running; 0 is no limit.
    pub limit: Resources,
}

/// A request to do the upkeep of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Hosts that are due.
    pub hosts: Vec<HostName>,
    /// Time until all must be done, in milliseconds.
    pub period: u64,
    /// Most hosts that may be down at once.
    pub limit: u32,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Its version.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools by the name of their service.
    pub pools: BTreeMap<ServiceName, Pool>,
    /// Teams.
    pub teams: BTreeMap<TeamName, Team>,
    /// Teams by their keys.
    pub keys: BTreeMap<Arc<str>, TeamName>,
    /// Largest body of a request, in bytes.
    pub body: usize,
}

impl Policy {
    /// The queue of a request, by its host name and the longest prefix that its path begins with.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let here = |queue: &&Queue| &*queue.host == host && path.starts_with(&*queue.prefix);
        let found = self.queues.iter().filter(here);
        found.max_by_key(|queue| queue.prefix.len())
    }

    /// The queue of a name.
    #[must_use]
    pub fn queue_named(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }
}

/// All that operators have written, as of one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directives {
    /// The configuration, once there is one.
    pub policy: Option<Rc<Policy>>,
    /// Data centres that are to get no work.
    pub closed: BTreeSet<DcName>,
    /// Upkeep that is asked for.
    pub waves: BTreeMap<u64, Wave>,
}
