//! Which hosts are drained for maintenance next.

use crate::name::HostName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Change;
use crate::record::Goal;
use crate::record::Host;
use crate::upkeep::Action;
use crate::upkeep::Planner;
use crate::upkeep::PlannerInput;
use crate::upkeep::Policy;
use crate::upkeep::census::Census;

impl Planner {
    /// Drains hosts that are due, the longest unmaintained first, one rack of a pool at a time.
    pub(super) fn plan_waves<'a>(
        &mut self,
        now: u64,
        input: &PlannerInput<'a>,
        census: &mut Census<'a>,
        out: &mut Vec<Action>,
    ) {
        let limit = self.policy.parallel(input.state.hosts.len());
        if census.maintained >= limit {
            return;
        }
        let mut due: Vec<_> = input.state.hosts.iter().collect();
        due.retain(|(name, host)| self.may_maintain(now, input, name, host));
        due.sort_by_key(|(name, host)| (host.maintained, *name));
        for (name, host) in due {
            if census.maintained >= limit {
                return;
            }
            if has_place(census, host) {
                out.push(Action::note(wave_note(name, host, census)));
                census.maintain(host);
                out.push(Action::Append(Change::Plan {
                    host: name.clone(),
                    goal: Goal::Maintain,
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
            && input.state.usable(host)
            && input.listing.is_some_and(|listing| listing.is_live(name))
            && self.retries.get(name).is_none_or(|retry| *retry <= now)
    }
}

/// Whether budgets and failure domains allow maintenance of the host.
fn has_place(census: &Census<'_>, host: &Host) -> bool {
    let Some(pool) = census.pools.get(&host.pool) else {
        return false;
    };
    !pool.held
        && pool.room() > Policy::reserve(pool.budget)
        && (pool.racks.is_empty() || pool.racks.contains(&host.rack))
        && census.dc_allows(&host.dc)
}

fn wave_note(name: &HostName, host: &Host, census: &Census<'_>) -> Note {
    let cause = format!(
        "maintenance of rack {} in pool {}; last one at {} ms, {} hosts under maintenance",
        host.rack, host.pool, host.maintained, census.maintained,
    );
    Note::new(NoteKind::HostDraining, cause)
        .host(name)
        .dc(&host.dc)
}
