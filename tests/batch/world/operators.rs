//! What operators write.

use std::rc::Rc;

use mimosastep::batch::Directives;
use mimosastep::batch::Event;
use mimosastep::batch::Policy;
use mimosastep::batch::Resources;
use mimosastep::batch::Team;
use mimosastep::batch::Wave;
use mimosastep::name::DcName;
use mimosastep::name::HostName;

use crate::world::World;
use crate::world::team;

impl World {
    /// Changes what operators have written, and tells the owner.
    pub fn write_directives(&mut self, change: impl FnOnce(&mut Directives)) {
        change(&mut self.directives);
        let directives = self.directives.clone();
        let now = self.now;
        self.leader()
            .dispatcher
            .handle(now, Event::Directives(directives));
    }

    /// Changes the configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Policy)) {
        self.write_directives(|directives| {
            let policy = directives.policy.as_ref().expect("a policy");
            let mut policy = (**policy).clone();
            policy.version += 1;
            change(&mut policy);
            directives.policy = Some(Rc::new(policy));
        });
    }

    pub fn ask_wave(&mut self, hosts: &[&str], period: u64, limit: u32) {
        let hosts = hosts
            .iter()
            .map(|host| HostName::new(host).expect("a name"));
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

    /// Lets only the advice service say where a queue's steps run.
    pub fn advise(&mut self, pool: &str) {
        self.configure(|policy| {
            for queue in &mut policy.queues {
                queue.advised |= queue.name.as_str() == pool;
            }
        });
    }

    /// Gives a team a weight, and a limit on the processor that it may have running.
    pub fn admit_team(&mut self, name: &str, weight: u64, cpu: u64) {
        let limit = Resources {
            cpu,
            ..Resources::default()
        };
        self.configure(|policy| {
            policy.teams.insert(team(name), Team { weight, limit });
        });
    }

    /// Lets no more work go to a data centre, or lets it go there again.
    pub fn close(&mut self, dc: &str, closed: bool) {
        let dc = DcName::new(dc).expect("a name");
        self.write_directives(|directives| {
            if closed {
                directives.closed.insert(dc);
            } else {
                directives.closed.remove(&dc);
            }
        });
    }
}
