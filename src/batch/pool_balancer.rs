//! Which hosts move between pools: hosts follow the demand, and idle ones go to the spare pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::batch::OrderError;
use crate::name::HostName;
use crate::name::ServiceName;

/// Time that a host is away for a move, with some to spare, in milliseconds.
const AWAY_MS: u64 = 4_000;
/// Time that a host is idle before it goes to the spare pool, in milliseconds.
const IDLE_MS: u64 = 1_200;
/// Time between two orders for a host that can't be moved now, in milliseconds.
const RETRY_MS: u64 = 500;
/// A host that can't join a pool is not asked to again for that long, in milliseconds.
const UNFIT_MS: u64 = 30_000;
/// Capacity that a pool has beyond its need, in hundredths of it.
const MARGIN: u64 = 10;

/// A host in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostName,
    /// Its processor, in thousandths of a core.
    pub cpu: u64,
    /// Processor that its tasks take, in thousandths of a core.
    pub used: u64,
    /// Nothing runs there.
    pub idle: bool,
    /// A task runs there that doesn't end by itself.
    pub lasting: bool,
    /// It takes new work, or may be moved: up, not leaving, and not due for anything else.
    pub open: bool,
}

/// A pool and what it needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolView {
    /// Its service.
    pub service: ServiceName,
    /// Its hosts are off.
    pub spare: bool,
    /// Processor that its work takes now and soon, in thousandths of a core.
    pub need: u64,
    /// Processor that it may have besides, once no other pool needs that, for work that is too late
    /// to be of use, in thousandths of a core.
    pub late: u64,
    /// The part of the need that is foreseen from what comes in, in thousandths of a core.
    pub forecast: u64,
    /// Fewest hosts that it must have.
    pub floor: usize,
    /// Further hosts without which tasks that last can't be started.
    pub lacking: usize,
    /// Its hosts.
    pub hosts: Vec<Member>,
}

/// A host that moves to another pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The host.
    pub host: HostName,
    /// Where it goes.
    pub pool: ServiceName,
}

/// An order to move a host.
#[derive(Debug)]
struct Going {
    pool: ServiceName,
    cpu: u64,
    /// Until when it counts for the pool that it joins, though it isn't listed there.
    until: Option<Instant>,
    retry: Option<Instant>,
}

/// Decides on moves.
#[derive(Debug, Default)]
pub struct PoolBalancer {
    going: BTreeMap<HostName, Going>,
    // Hosts that get no new work, so that other pools can have them soon.
    emptying: BTreeSet<HostName>,
    idle: BTreeMap<HostName, Instant>,
    unfit: BTreeMap<(HostName, ServiceName), Instant>,
}

impl PoolBalancer {
    /// Whether a host is about to move, so that it gets no new work.
    #[must_use]
    pub fn is_closed(&self, host: Option<&HostName>) -> bool {
        let going = host.and_then(|host| self.going.get(host));
        going.is_some_and(|going| going.until.is_none())
    }

    /// Whether a host is being emptied for another pool, so that it gets no new work.
    #[must_use]
    pub fn is_emptying(&self, host: Option<&HostName>) -> bool {
        host.is_some_and(|host| self.emptying.contains(host))
    }

    /// Moves to order now.
    pub fn plan(&mut self, now: Instant, pools: &[PoolView]) -> Vec<Move> {
        self.going
            .retain(|_, going| going.until.is_none_or(|until| now < until));
        self.unfit.retain(|_, until| now < *until);
        self.note_idle(now, pools);
        let mut moves = self.repeat(now);
        let lack = self.fetch(pools, &mut moves, Self::wanted);
        if lack == 0 {
            self.fetch(pools, &mut moves, Self::welcome);
        }
        self.emptying = self.to_empty(pools, lack);
        moves.extend(self.rest(now, pools));
        moves
    }

    /// Orders idle hosts of pools that have more than `aim` to those that have less, in the order
    /// of what they lack; returns what they lack then.
    fn fetch(
        &mut self,
        pools: &[PoolView],
        moves: &mut Vec<Move>,
        aim: fn(&PoolView) -> u64,
    ) -> u64 {
        let mut donors = self.donors(pools, aim);
        let mut wanting: Vec<(u64, &PoolView)> = pools
            .iter()
            .filter(|pool| !pool.spare)
            .map(|pool| (self.shortage(pool, aim(pool)), pool))
            .filter(|(shortage, _)| *shortage > 0)
            .collect();
        wanting.sort_by_key(|(shortage, _)| std::cmp::Reverse(*shortage));
        let mut lack = 0;
        for (mut shortage, pool) in wanting {
            while shortage > 0 {
                let fit = |member: &Member| {
                    let key = (member.host.clone(), pool.service.clone());
                    !self.unfit.contains_key(&key)
                };
                let mut found = donors.iter();
                let found = found.position(|(from, member)| *from != pool.service && fit(member));
                let Some(at) = found else {
                    break;
                };
                let (_, member) = donors.remove(at);
                shortage = shortage.saturating_sub(member.cpu);
                moves.push(self.order(&member, &pool.service));
            }
            lack += shortage;
        }
        lack
    }

    /// An order was answered, or not; returns whether the host moves.
    pub fn answered(
        &mut self,
        now: Instant,
        host: &HostName,
        result: Result<(), OrderError>,
    ) -> bool {
        let Some(going) = self.going.get_mut(host) else {
            return false;
        };
        match result {
            Ok(()) => {
                going.until = Some(now + Duration::from_millis(AWAY_MS));
                self.idle.remove(host);
                true
            }
            Err(OrderError::Silent) => {
                // It may yet be carried out, so it is given until it's answered.
                going.retry = Some(now + Duration::from_millis(RETRY_MS));
                false
            }
            Err(err) => {
                let pause = if err == OrderError::Gone {
                    UNFIT_MS
                } else {
                    RETRY_MS
                };
                let until = now + Duration::from_millis(pause);
                let pool = going.pool.clone();
                self.unfit.insert((host.clone(), pool), until);
                self.going.remove(host);
                false
            }
        }
    }

    fn note_idle(&mut self, now: Instant, pools: &[PoolView]) {
        for member in pools.iter().flat_map(|pool| &pool.hosts) {
            if member.idle {
                self.idle.entry(member.host.clone()).or_insert(now);
            } else {
                self.idle.remove(&member.host);
            }
        }
    }

    fn repeat(&mut self, now: Instant) -> Vec<Move> {
        let mut moves = Vec::new();
        for (host, going) in &mut self.going {
            if going.retry.is_some_and(|at| at <= now) {
                going.retry = None;
                let pool = going.pool.clone();
                moves.push(Move {
                    host: host.clone(),
                    pool,
                });
            }
        }
        moves
    }

    fn order(&mut self, member: &Member, pool: &ServiceName) -> Move {
        let going = Going {
            pool: pool.clone(),
            cpu: member.cpu,
            until: None,
            retry: None,
        };
        self.going.insert(member.host.clone(), going);
        Move {
            host: member.host.clone(),
            pool: pool.clone(),
        }
    }

    /// Hosts of a pool that take new work and are not about to leave it.
    fn staying<'a>(&self, pool: &'a PoolView) -> impl Iterator<Item = &'a Member> {
        let hosts = pool.hosts.iter();
        hosts.filter(|member| member.open && !self.going.contains_key(&member.host))
    }

    /// Processor that a pool has or will have, in thousandths of a core.
    fn supply(&self, pool: &PoolView) -> u64 {
        let here: u64 = self.staying(pool).map(|member| member.cpu).sum();
        let coming = self
            .going
            .values()
            .filter(|going| going.pool == pool.service);
        here + coming.map(|going| going.cpu).sum::<u64>()
    }

    /// Number of hosts that are to join a pool.
    fn coming(&self, pool: &PoolView) -> usize {
        let coming = self.going.values();
        coming.filter(|going| going.pool == pool.service).count()
    }

    fn count(&self, pool: &PoolView) -> usize {
        self.staying(pool).count() + self.coming(pool)
    }

    fn wanted(pool: &PoolView) -> u64 {
        pool.need + pool.need * MARGIN / 100
    }

    /// Processor that a pool may have while no other needs it, in thousandths of a core.
    fn welcome(pool: &PoolView) -> u64 {
        Self::wanted(pool) + pool.late
    }

    fn shortage(&self, pool: &PoolView, aim: u64) -> u64 {
        let shortage = aim.saturating_sub(self.supply(pool));
        let few = self.count(pool) < pool.floor || self.coming(pool) < pool.lacking;
        if shortage == 0 && few {
            return 1;
        }
        shortage
    }

    /// Idle hosts that their pools can do without, those of the spare pool in front.
    fn donors(&self, pools: &[PoolView], aim: fn(&PoolView) -> u64) -> Vec<(ServiceName, Member)> {
        let mut donors = Vec::new();
        let mut order: Vec<&PoolView> = pools.iter().collect();
        order.sort_by_key(|pool| !pool.spare);
        for pool in order {
            for member in self.surplus(pool, aim) {
                donors.push((pool.service.clone(), member));
            }
        }
        donors
    }

    fn surplus(&self, pool: &PoolView, aim: fn(&PoolView) -> u64) -> Vec<Member> {
        let mut supply = self.supply(pool);
        let mut count = self.count(pool);
        let wanted = if pool.spare { 0 } else { aim(pool) };
        let floor = if pool.spare { 0 } else { pool.floor };
        let mut found = Vec::new();
        for member in &pool.hosts {
            let usable = member.idle && member.open && !self.going.contains_key(&member.host);
            if usable && count > floor && supply >= wanted + member.cpu {
                supply -= member.cpu;
                count -= 1;
                found.push(member.clone());
            }
        }
        found
    }

    /// Hosts that their pools can do without but on which tasks run, up to what other pools lack;
    /// those with the least to do in front.
    fn to_empty(&self, pools: &[PoolView], mut lack: u64) -> BTreeSet<HostName> {
        let mut found = BTreeSet::new();
        for pool in pools.iter().filter(|pool| !pool.spare) {
            let mut supply = self.supply(pool);
            let mut count = self.count(pool);
            let mut busy: Vec<&Member> = self.staying(pool).collect();
            busy.retain(|member| !member.idle && !member.lasting);
            busy.sort_by_key(|member| member.used);
            for member in busy {
                let kept = supply.saturating_sub(member.cpu);
                if lack == 0 || count <= pool.floor || kept < Self::wanted(pool) {
                    break;
                }
                supply = kept;
                count -= 1;
                lack = lack.saturating_sub(member.cpu);
                found.insert(member.host.clone());
            }
        }
        found
    }

    /// Hosts that have been idle for long enough go to the spare pool.
    fn rest(&mut self, now: Instant, pools: &[PoolView]) -> Vec<Move> {
        let Some(spare) = pools.iter().find(|pool| pool.spare) else {
            return Vec::new();
        };
        let mut moves = Vec::new();
        for pool in pools.iter().filter(|pool| !pool.spare) {
            for member in self.surplus(pool, Self::welcome) {
                let since = self.idle.get(&member.host);
                let rested =
                    since.is_some_and(|&since| now >= since + Duration::from_millis(IDLE_MS));
                let unfit = self
                    .unfit
                    .contains_key(&(member.host.clone(), spare.service.clone()));
                if rested && !unfit {
                    moves.push(self.order(&member, &spare.service));
                }
            }
        }
        moves
    }
}
