//! Moves of hosts between pools, driven by the load of their services.

use std::collections::BTreeMap;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::PoolName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Change;
use crate::record::Host;
use crate::record::Pool;
use crate::record::UpkeepGoal;
use crate::upkeep::Action;
use crate::upkeep::Planner;
use crate::upkeep::PlannerInput;
use crate::upkeep::Policy;
use crate::upkeep::host_counts::HostCounts;
use crate::upkeep::host_counts::PoolCount;

/// Load of a pool, in tenths of its slots, above which it is short of hosts.
const SHORT_TENTHS: u64 = 9;
/// Load, in tenths of the slots, that a pool should have after hosts were moved to it.
const TARGET_TENTHS: u64 = 7;
/// Load of a pool, in tenths of its slots, below which borrowed hosts are returned.
const LOW_TENTHS: u64 = 5;
/// Load of a pool, in tenths of its slots, below which it may give hosts to other pools.
const IDLE_TENTHS: u64 = 2;

/// Time within which plans for the same host count as one move, in milliseconds.
const REPEAT_MS: u64 = 10_000;
/// Period to which the limit on the number of moves applies, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// Since when a pool's load has been above or below each threshold, in Unix milliseconds; none
/// while it isn't.
#[derive(Debug, Default)]
pub(super) struct LoadTrend {
    short_since: Option<u64>,
    low_since: Option<u64>,
    idle_since: Option<u64>,
}

impl LoadTrend {
    fn update(&mut self, now: u64, demand: u64, slots: u64) {
        let track = |since: &mut Option<u64>, holds: bool| {
            *since = holds.then(|| since.unwrap_or(now));
        };
        track(&mut self.short_since, demand * 10 > slots * SHORT_TENTHS);
        track(&mut self.low_since, demand * 10 < slots * LOW_TENTHS);
        track(&mut self.idle_since, demand * 10 < slots * IDLE_TENTHS);
    }
}

fn has_lasted(since: Option<u64>, now: u64, span: u64) -> bool {
    since.is_some_and(|since| now >= since + span)
}

/// A host that may be moved to another pool; hosts of lower rank are moved first. Rank 0: hosts of
/// pools without a service; 1: hosts borrowed by an idle pool; 2: an idle pool's own hosts.
struct Candidate<'a> {
    rank: u8,
    name: &'a HostName,
    host: &'a Host,
}

impl Planner {
    /// Plans moves of hosts to pools that are short, and returns borrowed hosts of pools with low
    /// load.
    pub(super) fn plan_moves<'a>(
        &mut self,
        now: u64,
        input: &PlannerInput<'a>,
        counts: &mut HostCounts<'a>,
        out: &mut Vec<Action>,
    ) {
        self.update_trends(now, input, counts);
        while self
            .recent_moves
            .front()
            .is_some_and(|(at, _)| at + HOUR_MS <= now)
        {
            self.recent_moves.pop_front();
        }
        self.stay_until.retain(|_, stay_until| now < *stay_until);
        self.return_lent(now, input, counts, out);
        for (pool, row) in &input.state.pools {
            let wanted = self.hosts_wanted(now, input, counts, (pool, row));
            self.fill_pool(now, input, counts, (pool, wanted), out);
        }
    }

    fn update_trends(&mut self, now: u64, input: &PlannerInput<'_>, counts: &HostCounts<'_>) {
        self.trends
            .retain(|pool, _| input.state.pools.contains_key(pool));
        for (name, pool) in &input.state.pools {
            let demand = demand(input, pool);
            let Some((demand, count)) = demand.zip(counts.pools.get(name)) else {
                self.trends.remove(name);
                continue;
            };
            let trend = self.trends.entry(name.clone()).or_default();
            trend.update(now, demand, count.slots.into());
        }
    }

    fn return_lent<'a>(
        &self,
        now: u64,
        input: &PlannerInput<'a>,
        counts: &mut HostCounts<'a>,
        out: &mut Vec<Action>,
    ) {
        for (name, host) in &input.state.hosts {
            let low_since = self
                .trends
                .get(&host.pool)
                .and_then(|trend| trend.low_since);
            if host.pool == host.home
                || !input.state.is_usable(host)
                || !has_lasted(low_since, now, self.policy.return_ms)
            {
                continue;
            }
            let (Some(pool), Some(row)) = (
                counts.pools.get(&host.pool),
                input.state.pools.get(&host.pool),
            ) else {
                continue;
            };
            let threshold = u64::from(pool.slots - host.slots) * LOW_TENTHS;
            if pool.room() > 0 && demand(input, row).is_some_and(|demand| demand * 10 < threshold) {
                plan_move(
                    counts,
                    (name, host),
                    &host.home,
                    "the load is low again",
                    out,
                );
            }
        }
    }

    /// Number of further hosts that a pool needs; 0 unless it has been short for long enough.
    fn hosts_wanted(
        &self,
        now: u64,
        input: &PlannerInput<'_>,
        counts: &HostCounts<'_>,
        (name, row): (&PoolName, &Pool),
    ) -> usize {
        let short_since = self.trends.get(name).and_then(|trend| trend.short_since);
        let Some((demand, count)) = demand(input, row).zip(counts.pools.get(name)) else {
            return 0;
        };
        if !has_lasted(short_since, now, self.policy.shortage_ms) {
            return 0;
        }
        let host_slots = input.state.hosts.values().find(|host| host.pool == *name);
        let host_slots = host_slots.map_or(1, |host| u64::from(host.slots).max(1));
        let target_slots = (demand * 10).div_ceil(TARGET_TENTHS);
        let missing = target_slots
            .saturating_sub(count.slots.into())
            .div_ceil(host_slots);
        usize::try_from(missing)
            .unwrap_or(usize::MAX)
            .saturating_sub(count.arriving)
    }

    fn fill_pool<'a>(
        &mut self,
        now: u64,
        input: &PlannerInput<'a>,
        counts: &mut HostCounts<'a>,
        (to, wanted): (&'a PoolName, usize),
        out: &mut Vec<Action>,
    ) {
        let allowed = self.policy.moves_allowed(input.state.hosts.len());
        let mut left = wanted.min(allowed.saturating_sub(self.recent_moves.len()));
        if left == 0 {
            return;
        }
        for candidate in self.candidates(now, input, counts, to) {
            if left == 0 {
                return;
            }
            let pool = counts.pools.get(&candidate.host.pool);
            if pool.is_some_and(|pool| may_give(candidate.rank, pool)) {
                left -= 1;
                self.count_move(now, candidate.name);
                let cause = format!("pool {to} is short by {wanted} hosts");
                plan_move(counts, (candidate.name, candidate.host), to, &cause, out);
            }
        }
    }

    // A plan is repeated until its record has reached the state, but counts only once.
    fn count_move(&mut self, now: u64, host: &HostName) {
        let recent = self.recent_moves.iter().rev();
        let counted = recent
            .take_while(|(at, _)| now < at + REPEAT_MS)
            .any(|(_, moved)| moved == host);
        if !counted {
            let stay_until = now + self.policy.stay_ms;
            self.stay_until.insert(host.clone(), stay_until);
            self.recent_moves.push_back((now, host.clone()));
        }
    }

    /// Hosts that may be moved to pool `to`: by rank, then from those data centres first in which
    /// the pool has the fewest usable hosts.
    fn candidates<'a>(
        &self,
        now: u64,
        input: &PlannerInput<'a>,
        counts: &HostCounts<'a>,
        to: &PoolName,
    ) -> Vec<Candidate<'a>> {
        let mut usable_by_dc: BTreeMap<&DcName, usize> = BTreeMap::new();
        let mut candidates = Vec::new();
        for (name, host) in &input.state.hosts {
            if host.pool == *to {
                *usable_by_dc.entry(&host.dc).or_default() +=
                    usize::from(input.state.is_usable(host));
            } else if counts.pools.contains_key(&host.pool)
                && input.state.is_usable(host)
                && let Some(rank) = self.rank(now, input, (name, host), to)
            {
                candidates.push(Candidate { rank, name, host });
            }
        }
        let usable_in_dc =
            |candidate: &Candidate<'_>| usable_by_dc.get(&candidate.host.dc).copied().unwrap_or(0);
        candidates
            .sort_by_key(|candidate| (candidate.rank, usable_in_dc(candidate), candidate.name));
        candidates
    }

    fn rank(
        &self,
        now: u64,
        input: &PlannerInput<'_>,
        (name, host): (&HostName, &Host),
        to: &PoolName,
    ) -> Option<u8> {
        let pool = input.state.pools.get(&host.pool)?;
        if pool.service.is_none() {
            return Some(0);
        }
        let idle_since = self
            .trends
            .get(&host.pool)
            .and_then(|trend| trend.idle_since);
        if !has_lasted(idle_since, now, self.policy.idle_ms) {
            return None;
        }
        if host.pool != host.home {
            return (!self.stay_until.contains_key(name)).then_some(1);
        }
        let short_since = self.trends.get(to).and_then(|trend| trend.short_since);
        has_lasted(short_since, now, self.policy.lend_ms).then_some(2)
    }
}

/// Whether a pool may give a host of this rank away. Its own hosts (rank 2) may leave only while
/// its reserve for failures remains.
fn may_give(rank: u8, pool: &PoolCount<'_>) -> bool {
    let kept = if rank == 2 {
        Policy::reserve(pool.budget)
    } else {
        0
    };
    pool.room() > kept
}

fn demand(input: &PlannerInput<'_>, pool: &Pool) -> Option<u64> {
    let service = pool.service.as_ref()?;
    input.reports.demand(service).map(u64::from)
}

fn plan_move<'a>(
    counts: &mut HostCounts<'a>,
    (name, host): (&'a HostName, &'a Host),
    to: &'a PoolName,
    cause: &str,
    out: &mut Vec<Action>,
) {
    counts.add_move(host, to);
    let note = Note::new(
        NoteKind::HostDraining,
        format!("{cause}; from pool {} to {to}", host.pool),
    );
    out.push(Action::note(note.host(name).dc(&host.dc)));
    out.push(Action::Append(Change::Plan {
        host: name.clone(),
        goal: UpkeepGoal::Move(to.clone()),
    }));
}
