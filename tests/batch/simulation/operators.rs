//! Actions of operators.

use std::rc::Rc;

use mimosastep::batch::Directives;
use mimosastep::batch::Event;
use mimosastep::batch::Policy;
use mimosastep::batch::Resources;
use mimosastep::batch::Team;
use mimosastep::batch::Wave;
use mimosastep::name::DcName;
use mimosastep::name::HostName;

use crate::simulation::Simulation;
use crate::simulation::team;

impl Simulation {
    /// Changes the directives and sends them to the elected owner.
    pub fn write_directives(&mut self, change: impl FnOnce(&mut Directives)) {
        change(&mut self.directives);
        let directives = self.directives.clone();
        let now = self.now;
        self.owner()
            .dispatcher
            .handle(now, Event::Directives(directives));
    }

    /// Changes the policy and raises its version.
    pub fn configure(&mut self, change: impl FnOnce(&mut Policy)) {
        self.write_directives(|directives| {
            let policy = directives.policy.as_ref().expect("policy is not set");
            let mut policy = (**policy).clone();
            policy.version += 1;
            change(&mut policy);
            directives.policy = Some(Rc::new(policy));
        });
    }

    /// Requests maintenance of hosts within `period` milliseconds, at most `limit` of them down at
    /// once.
    pub fn request_wave(&mut self, hosts: &[&str], period: u64, limit: u32) {
        let hosts = hosts
            .iter()
            .map(|host| HostName::new(host).expect("invalid name"));
        let wave = Wave {
            number: 1,
            hosts: hosts.collect(),
            period,
            limit,
        };
        self.write_directives(|directives| {
            directives.waves.insert(1, wave);
        });
    }

    /// Restricts a queue's steps to executors that the advice service approves.
    pub fn require_advice(&mut self, pool: &str) {
        self.configure(|policy| {
            for queue in &mut policy.queues {
                queue.advised |= queue.name.as_str() == pool;
            }
        });
    }

    /// Sets a team's weight and its limit on running CPU in millicores (0 for no limit).
    pub fn set_team(&mut self, name: &str, weight: u64, cpu: u64) {
        let limit = Resources {
            cpu,
            ..Resources::default()
        };
        self.configure(|policy| {
            policy.teams.insert(team(name), Team { weight, limit });
        });
    }

    /// Closes a data centre to new work, or reopens it.
    pub fn close_dc(&mut self, dc: &str, closed: bool) {
        let dc = DcName::new(dc).expect("invalid name");
        self.write_directives(|directives| {
            if closed {
                directives.closed.insert(dc);
            } else {
                directives.closed.remove(&dc);
            }
        });
    }
}
