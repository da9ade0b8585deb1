//! Maintenance waves: selection of the hosts to drain next.

use crate::name::HostName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Change;
use crate::record::Host;
use crate::record::UpkeepGoal;
use crate::upkeep::Action;
use crate::upkeep::Planner;
use crate::upkeep::PlannerInput;
use crate::upkeep::Policy;
use crate::upkeep::host_counts::HostCounts;

impl Planner {
    /// Plans drains of hosts that are due for maintenance: those unmaintained for the longest time
    /// first, one rack of a pool at a time.
    pub(super) fn plan_waves<'a>(
        &mut self,
        now: u64,
        input: &PlannerInput<'a>,
        counts: &mut HostCounts<'a>,
        out: &mut Vec<Action>,
    ) {
        let limit = self.policy.parallel(input.state.hosts.len());
        if counts.maintained >= limit {
            return;
        }
        let mut due: Vec<_> = input.state.hosts.iter().collect();
        due.retain(|(name, host)| self.may_maintain(now, input, name, host));
        due.sort_by_key(|(name, host)| (host.maintained, *name));
        for (name, host) in due {
            if counts.maintained >= limit {
                return;
            }
            if can_drain(counts, host) {
                out.push(Action::note(wave_note(name, host, counts)));
                counts.add_maintenance(host);
                out.push(Action::Append(Change::Plan {
                    host: name.clone(),
                    goal: UpkeepGoal::Maintain,
                }));
            }
        }
    }

    fn may_maintain(
        &self,
        now: u64,
        input: &PlannerInput<'_>,
        name: &HostName,
        host: &Host,
    ) -> bool {
        self.policy.due(host.maintained) <= now
            && input.state.is_usable(host)
            && input.listing.is_some_and(|listing| listing.is_live(name))
            && self.retry_at.get(name).is_none_or(|retry| *retry <= now)
    }
}

/// Whether the budgets and failure domains of a host's pool and data centre allow draining it.
fn can_drain(counts: &HostCounts<'_>, host: &Host) -> bool {
    let Some(pool) = counts.pools.get(&host.pool) else {
        return false;
    };
    !pool.blocked
        && pool.room() > Policy::reserve(pool.budget)
        && (pool.racks.is_empty() || pool.racks.contains(&host.rack))
        && counts.may_maintain_in(&host.dc)
}

fn wave_note(name: &HostName, host: &Host, counts: &HostCounts<'_>) -> Note {
    let cause = format!(
        "maintenance of rack {} in pool {}; last one at {} ms, {} hosts under maintenance",
        host.rack, host.pool, host.maintained, counts.maintained,
    );
    Note::new(NoteKind::HostDraining, cause)
        .host(name)
        .dc(&host.dc)
}
