//! Moves of hosts between pools, after the services' load.

use std::collections::BTreeMap;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::PoolName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Change;
use crate::record::Goal;
use crate::record::Host;
use crate::record::Pool;
use crate::upkeep::Action;
use crate::upkeep::Planner;
use crate::upkeep::PlannerInput;
use crate::upkeep::Policy;
use crate::upkeep::census::Census;
use crate::upkeep::census::PoolCount;

/// Share of a pool's slots, in tenths, at which it is short.
const SHORT_TENTHS: u64 = 9;
/// Share of a pool's slots, in tenths, that moves aim at.
const AIM_TENTHS: u64 = 7;
/// Share of a pool's slots, in tenths, below which lent hosts go back.
const RETURN_TENTHS: u64 = 5;
/// Share of a pool's slots, in tenths, below which it may give hosts away.
const CALM_TENTHS: u64 = 2;

/// Time in which a plan for the same host is the same move, in milliseconds.
const REPEAT_MS: u64 = 10_000;
/// Time over which moves are counted, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// Since when a pool's load has been at an extreme, in Unix milliseconds.
#[derive(Debug, Default)]
pub(super) struct Trend {
    short: Option<u64>,
    low: Option<u64>,
    calm: Option<u64>,
}

impl Trend {
    fn note(&mut self, now: u64, need: u64, slots: u64) {
        let keep = |since: &mut Option<u64>, holds: bool| {
            *since = holds.then(|| since.unwrap_or(now));
        };
        keep(&mut self.short, need * 10 > slots * SHORT_TENTHS);
        keep(&mut self.low, need * 10 < slots * RETURN_TENTHS);
        keep(&mut self.calm, need * 10 < slots * CALM_TENTHS);
    }
}

fn lasts(since: Option<u64>, now: u64, span: u64) -> bool {
    since.is_some_and(|since| now >= since + span)
}

/// A host that may be sent to another pool; the smaller rank goes first.
struct Donor<'a> {
    rank: u8,
    name: &'a HostName,
    host: &'a Host,
}

impl Planner {
    /// Sends hosts to pools that are short, and lent hosts back where the load is low.
    pub(super) fn plan_moves<'a>(
        &mut self,
        now: u64,
        input: &PlannerInput<'a>,
        census: &mut Census<'a>,
        out: &mut Vec<Action>,
    ) {
        self.follow_load(now, input, census);
        while self
            .moves
            .front()
            .is_some_and(|(at, _)| at + HOUR_MS <= now)
        {
            self.moves.pop_front();
        }
        self.stays.retain(|_, stays| now < *stays);
        self.send_back(now, input, census, out);
        for (pool, row) in &input.state.pools {
            let wanted = self.wanted(now, input, census, (pool, row));
            self.fill(now, input, census, (pool, wanted), out);
        }
    }

    fn follow_load(&mut self, now: u64, input: &PlannerInput<'_>, census: &Census<'_>) {
        self.trends
            .retain(|pool, _| input.state.pools.contains_key(pool));
        for (name, pool) in &input.state.pools {
            let need = need(input, pool);
            let Some((need, count)) = need.zip(census.pools.get(name)) else {
                self.trends.remove(name);
                continue;
            };
            let trend = self.trends.entry(name.clone()).or_default();
            trend.note(now, need, count.slots.into());
        }
    }

    fn send_back<'a>(
        &self,
        now: u64,
        input: &PlannerInput<'a>,
        census: &mut Census<'a>,
        out: &mut Vec<Action>,
    ) {
        for (name, host) in &input.state.hosts {
            let low = self.trends.get(&host.pool).and_then(|trend| trend.low);
            if host.pool == host.home
                || !input.state.usable(host)
                || !lasts(low, now, self.policy.return_ms)
            {
                continue;
            }
            let (Some(pool), Some(row)) = (
                census.pools.get(&host.pool),
                input.state.pools.get(&host.pool),
            ) else {
                continue;
            };
            let left = u64::from(pool.slots - host.slots) * RETURN_TENTHS;
            if pool.room() > 0 && need(input, row).is_some_and(|need| need * 10 < left) {
                send(
                    census,
                    (name, host),
                    &host.home,
                    "the load is low again",
                    out,
                );
            }
        }
    }

    /// Hosts that a pool could use now, none unless it has been short for long enough.
    fn wanted(
        &self,
        now: u64,
        input: &PlannerInput<'_>,
        census: &Census<'_>,
        (name, row): (&PoolName, &Pool),
    ) -> usize {
        let short = self.trends.get(name).and_then(|trend| trend.short);
        let Some((need, count)) = need(input, row).zip(census.pools.get(name)) else {
            return 0;
        };
        if !lasts(short, now, self.policy.patience_ms) {
            return 0;
        }
        let each = input.state.hosts.values().find(|host| host.pool == *name);
        let each = each.map_or(1, |host| u64::from(host.slots).max(1));
        let aim = (need * 10).div_ceil(AIM_TENTHS);
        let lacking = aim.saturating_sub(count.slots.into()).div_ceil(each);
        usize::try_from(lacking)
            .unwrap_or(usize::MAX)
            .saturating_sub(count.coming)
    }

    fn fill<'a>(
        &mut self,
        now: u64,
        input: &PlannerInput<'a>,
        census: &mut Census<'a>,
        (to, wanted): (&'a PoolName, usize),
        out: &mut Vec<Action>,
    ) {
        let allowed = self.policy.moves_allowed(input.state.hosts.len());
        let mut left = wanted.min(allowed.saturating_sub(self.moves.len()));
        if left == 0 {
            return;
        }
        for donor in self.donors(now, input, census, to) {
            if left == 0 {
                return;
            }
            let pool = census.pools.get(&donor.host.pool);
            if pool.is_some_and(|pool| may_give(donor.rank, pool)) {
                left -= 1;
                self.count_move(now, donor.name);
                let cause = format!("pool {to} is short by {wanted} hosts");
                send(census, (donor.name, donor.host), to, &cause, out);
            }
        }
    }

    // A plan is made again until its record is seen in the state; it counts once.
    fn count_move(&mut self, now: u64, host: &HostName) {
        let lately = self.moves.iter().rev();
        let counted = lately
            .take_while(|(at, _)| now < at + REPEAT_MS)
            .any(|(_, moved)| moved == host);
        if !counted {
            let stays = now + self.policy.stay_ms;
            self.stays.insert(host.clone(), stays);
            self.moves.push_back((now, host.clone()));
        }
    }

    /// Hosts that may be sent to `to`: spare ones first, those of its emptier data centres first.
    fn donors<'a>(
        &self,
        now: u64,
        input: &PlannerInput<'a>,
        census: &Census<'a>,
        to: &PoolName,
    ) -> Vec<Donor<'a>> {
        let mut present: BTreeMap<&DcName, usize> = BTreeMap::new();
        let mut donors = Vec::new();
        for (name, host) in &input.state.hosts {
            if host.pool == *to {
                *present.entry(&host.dc).or_default() += usize::from(input.state.usable(host));
            } else if census.pools.contains_key(&host.pool)
                && input.state.usable(host)
                && let Some(rank) = self.rank(now, input, (name, host), to)
            {
                donors.push(Donor { rank, name, host });
            }
        }
        let full = |donor: &Donor<'_>| present.get(&donor.host.dc).copied().unwrap_or(0);
        donors.sort_by_key(|donor| (donor.rank, full(donor), donor.name));
        donors
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
        let calm = self.trends.get(&host.pool).and_then(|trend| trend.calm);
        if !lasts(calm, now, self.policy.calm_ms) {
            return None;
        }
        if host.pool != host.home {
            return (!self.stays.contains_key(name)).then_some(1);
        }
        let short = self.trends.get(to).and_then(|trend| trend.short);
        lasts(short, now, self.policy.lend_ms).then_some(2)
    }
}

/// Own hosts of a pool leave it only as far as its reserve for losses stays; spare ones all may.
fn may_give(rank: u8, pool: &PoolCount<'_>) -> bool {
    let kept = if rank == 2 {
        Policy::reserve(pool.budget)
    } else {
        0
    };
    pool.room() > kept
}

fn need(input: &PlannerInput<'_>, pool: &Pool) -> Option<u64> {
    let service = pool.service.as_ref()?;
    input.reports.need(service).map(u64::from)
}

fn send<'a>(
    census: &mut Census<'a>,
    (name, host): (&'a HostName, &'a Host),
    to: &'a PoolName,
    cause: &str,
    out: &mut Vec<Action>,
) {
    census.send(host, to);
    let note = Note::new(
        NoteKind::HostDraining,
        format!("{cause}; from pool {} to {to}", host.pool),
    );
    out.push(Action::note(note.host(name).dc(&host.dc)));
    out.push(Action::Append(Change::Plan {
        host: name.clone(),
        goal: Goal::Move(to.clone()),
    }));
}
