//! Application of records on the upkeep and moves of hosts.

use crate::name::HostName;
use crate::name::PoolName;
use crate::record::Host;
use crate::record::Rejection;
use crate::record::State;
use crate::record::Upkeep;
use crate::record::UpkeepEnd;
use crate::record::UpkeepGoal;
use crate::record::UpkeepPhase;

impl State {
    pub(super) fn drain(&mut self, name: &HostName) -> Result<(), Rejection> {
        let host = self.host(name)?;
        if host.draining {
            return Err(Rejection::Draining(name.clone()));
        }
        let budget = self.known_pool(&host.pool)?.budget;
        let out = self.unusable_hosts(&host.pool) + usize::from(self.is_usable(host));
        if out > budget as usize {
            return Err(Rejection::BudgetExceeded(host.pool.clone(), budget));
        }
        self.host_mut(name)?.draining = true;
        Ok(())
    }

    pub(super) fn undrain(
        &mut self,
        name: &HostName,
        maintained: Option<u64>,
    ) -> Result<(), Rejection> {
        let host = self.draining_host_mut(name)?;
        let rebooting =
            host.upkeep.as_ref().map(|upkeep| upkeep.phase) == Some(UpkeepPhase::Rebooting);
        if rebooting && maintained.is_none() {
            return Err(Rejection::Rebooting(name.clone()));
        }
        host.draining = false;
        host.upkeep = None;
        host.maintained = host.maintained.max(maintained.unwrap_or(0));
        Ok(())
    }

    pub(super) fn plan(
        &mut self,
        name: &HostName,
        goal: UpkeepGoal,
        at: u64,
    ) -> Result<(), Rejection> {
        let host = self.host(name)?;
        if let UpkeepGoal::Move(to) = &goal {
            self.known_pool(to)?;
            if host.pool == *to {
                return Err(Rejection::WrongPool(name.clone(), to.clone()));
            }
        }
        self.check_availability(&host.pool, usize::from(self.is_usable(host)))?;
        self.drain(name)?;
        let plan = self.offset;
        self.host_mut(name)?.upkeep = Some(Upkeep {
            plan,
            goal,
            phase: UpkeepPhase::Emptying,
            since: at,
        });
        Ok(())
    }

    // Hosts that were moved to another pool do not use up the budget of their home pool, so this
    // also checks how many hosts remain usable.
    fn check_availability(&self, pool: &PoolName, removed: usize) -> Result<(), Rejection> {
        let budget = self.known_pool(pool)?.budget;
        if self.home_hosts(pool) + removed > self.usable_hosts(pool) + budget as usize {
            return Err(Rejection::BudgetExceeded(pool.clone(), budget));
        }
        Ok(())
    }

    pub(super) fn reboot(&mut self, name: &HostName, plan: u64, at: u64) -> Result<(), Rejection> {
        let upkeep = self.upkeep_mut(name, plan)?;
        if upkeep.goal != UpkeepGoal::Maintain || upkeep.phase != UpkeepPhase::Emptying {
            return Err(Rejection::WrongPhase(name.clone()));
        }
        upkeep.phase = UpkeepPhase::Rebooting;
        upkeep.since = at;
        Ok(())
    }

    pub(super) fn finish(
        &mut self,
        name: &HostName,
        plan: u64,
        end: UpkeepEnd,
    ) -> Result<(), Rejection> {
        let upkeep = self.upkeep_mut(name, plan)?.clone();
        let host = self.host_mut(name)?;
        match (end, upkeep.phase, upkeep.goal) {
            (UpkeepEnd::Maintained(at), UpkeepPhase::Rebooting, _) => {
                host.maintained = at.max(host.maintained)
            }
            (UpkeepEnd::Moved, UpkeepPhase::Emptying, UpkeepGoal::Move(to)) => host.pool = to,
            (UpkeepEnd::Abandoned, UpkeepPhase::Emptying, _) => {}
            _ => return Err(Rejection::WrongPhase(name.clone())),
        }
        host.draining = false;
        host.upkeep = None;
        Ok(())
    }

    pub(super) fn move_host(
        &mut self,
        name: &HostName,
        from: &PoolName,
        to: PoolName,
    ) -> Result<(), Rejection> {
        self.known_pool(&to)?;
        let host = self.host(name)?;
        if host.pool != *from {
            return Err(Rejection::WrongPool(name.clone(), host.pool.clone()));
        }
        let host = self.draining_host_mut(name)?;
        host.pool = to.clone();
        host.home = to;
        host.upkeep
            .take_if(|upkeep| upkeep.goal != UpkeepGoal::Maintain);
        Ok(())
    }

    fn upkeep_mut(&mut self, name: &HostName, plan: u64) -> Result<&mut Upkeep, Rejection> {
        let upkeep = self.host_mut(name)?.upkeep.as_mut();
        upkeep
            .filter(|upkeep| upkeep.plan == plan)
            .ok_or_else(|| Rejection::OldPlan(name.clone()))
    }

    fn draining_host_mut(&mut self, name: &HostName) -> Result<&mut Host, Rejection> {
        let host = self.host_mut(name)?;
        if !host.draining {
            return Err(Rejection::NotDraining(name.clone()));
        }
        Ok(host)
    }
}
