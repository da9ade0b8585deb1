//! Configuration and orders written by operators.

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

/// A queue to which clients submit jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name by which jobs refer to the queue.
    pub name: QueueName,
    /// Host name in the requests for this queue.
    pub host: Arc<str>,
    /// Path prefix of the requests for this queue.
    pub prefix: Arc<str>,
    /// Service whose executors run its tasks.
    pub service: ServiceName,
    /// Requests need no API key.
    pub public: bool,
    /// Lower numbers are served first.
    pub priority: u32,
    /// Number of failed runs of a task at which its job fails.
    pub attempts: u32,
    /// Part of the latency objective: this many times a job's longest chain of steps.
    pub stretch: f64,
    /// Part of the latency objective: this time, added to the former, in milliseconds.
    pub latency: u64,
    /// Longest time that a request waits for its answer, in milliseconds.
    pub timeout: u64,
    /// The advice service must be asked which executors may run a step.
    pub advised: bool,
}

/// A pool of hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pool {
    /// Its executors refuse tasks that exceed their free capacity.
    pub admission_control: bool,
    /// It is the spare pool, whose hosts are switched off.
    pub spare: bool,
}

/// A team's share and limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Team {
    /// Weight of its share when capacity is short; 0 exempts the team from shares.
    pub weight: u64,
    /// Most resources that its runs may use; 0 is no limit.
    pub limit: Resources,
}

/// A request for maintenance of a set of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number that identifies the wave.
    pub number: u64,
    /// Hosts to be maintained.
    pub hosts: Vec<HostName>,
    /// Time in which all hosts must be maintained, counted from the request, in milliseconds.
    pub period: u64,
    /// Most hosts that may be down at once.
    pub limit: u32,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Version number from the configuration.
    pub version: u64,
    /// Queues to which clients can submit jobs.
    pub queues: Vec<Queue>,
    /// Pools by the name of their service.
    pub pools: BTreeMap<ServiceName, Pool>,
    /// Teams by their names.
    pub teams: BTreeMap<TeamName, Team>,
    /// Teams by their API keys.
    pub keys: BTreeMap<Arc<str>, TeamName>,
    /// Largest request body, in bytes.
    pub body: usize,
}

impl Policy {
    /// Returns the queue for a request with this host name, by the longest matching path prefix.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let here = |queue: &&Queue| &*queue.host == host && path.starts_with(&*queue.prefix);
        let found = self.queues.iter().filter(here);
        found.max_by_key(|queue| queue.prefix.len())
    }

    /// Whether a team has a limit.
    #[must_use]
    pub fn is_limited(&self, team: &TeamName) -> bool {
        let team = self.teams.get(team);
        team.is_some_and(|team| team.limit != Resources::default())
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue_named(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }
}

/// Everything that operators have written, as of one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directives {
    /// Configuration; `None` until operators have written one.
    pub policy: Option<Rc<Policy>>,
    /// Data centres that get no new work.
    pub closed: BTreeSet<DcName>,
    /// Requested maintenance waves, by number.
    pub waves: BTreeMap<u64, Wave>,
}

impl Directives {
    /// Returns the configured queues; none until operators have written a configuration.
    #[must_use]
    pub fn queues(&self) -> &[Queue] {
        let policy = self.policy.as_ref();
        policy.map_or(&[], |policy| policy.queues.as_slice())
    }

    /// Returns the teams that have a limit.
    #[must_use]
    pub fn limited_teams(&self) -> BTreeSet<TeamName> {
        let Some(policy) = &self.policy else {
            return BTreeSet::new();
        };
        let teams = policy.teams.keys().filter(|team| policy.is_limited(team));
        teams.cloned().collect()
    }
}
