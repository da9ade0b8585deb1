//! Which hosts move between pools: hosts follow the demand, and idle ones go to the spare pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::batch::OrderError;
use crate::name::HostName;
use crate::name::ServiceName;

/// Time that a host is away for a move, with some to spare, in milliseconds.
const MOVE_MS: u64 = 4_000;
/// Time that a host is idle before it goes to the spare pool, in milliseconds.
const IDLE_MS: u64 = 1_200;
/// Time between two orders for a host that can't be moved now, in milliseconds.
const RETRY_MS: u64 = 500;
/// A host that can't join a pool is not asked to again for that long, in milliseconds.
const UNFIT_BACKOFF_MS: u64 = 30_000;
/// Capacity that a pool has beyond its need, in hundredths of it.
const MARGIN_PERCENT: u64 = 10;

/// A host in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolHost {
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
    pub available: bool,
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
    pub late_work: u64,
    /// The part of the need that is foreseen from what comes in, in thousandths of a core.
    pub forecast: u64,
    /// Fewest hosts that it must have.
    pub min_hosts: usize,
    /// Further hosts without which tasks that last can't be started.
    pub extra_hosts: usize,
    /// Its hosts.
    pub hosts: Vec<PoolHost>,
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
struct PendingMove {
    pool: ServiceName,
    cpu: u64,
    /// Until when it counts for the pool that it joins, though it isn't listed there.
    until: Option<Instant>,
    retry: Option<Instant>,
}

/// Decides on moves.
#[derive(Debug, Default)]
pub struct PoolBalancer {
    pending: BTreeMap<HostName, PendingMove>,
    // Hosts that get no new work, so that other pools can have them soon.
    draining: BTreeSet<HostName>,
    idle: BTreeMap<HostName, Instant>,
    unfit: BTreeMap<(HostName, ServiceName), Instant>,
}

impl PoolBalancer {
    /// Whether a host is about to move, so that it gets no new work.
    #[must_use]
    pub fn is_closed(&self, host: Option<&HostName>) -> bool {
        let pending = host.and_then(|host| self.pending.get(host));
        pending.is_some_and(|pending| pending.until.is_none())
    }

    /// Whether a host is being emptied for another pool, so that it gets no new work.
    #[must_use]
    pub fn is_draining(&self, host: Option<&HostName>) -> bool {
        host.is_some_and(|host| self.draining.contains(host))
    }

    /// Moves to order now.
    pub fn plan(&mut self, now: Instant, pools: &[PoolView]) -> Vec<Move> {
        self.pending
            .retain(|_, pending| pending.until.is_none_or(|until| now < until));
        self.unfit.retain(|_, until| now < *until);
        self.note_idle(now, pools);
        let mut moves = self.retry_moves(now);
        let unmet = self.fill_shortages(pools, &mut moves, Self::needed_cpu);
        if unmet == 0 {
            self.fill_shortages(pools, &mut moves, Self::usable_cpu);
        }
        self.draining = self.hosts_to_drain(pools, unmet);
        moves.extend(self.release_idle(now, pools));
        moves
    }

    /// Orders idle hosts of pools that have more than `target_cpu` to those that have less, in the order
    /// of what they lack; returns what they lack then.
    fn fill_shortages(
        &mut self,
        pools: &[PoolView],
        moves: &mut Vec<Move>,
        target_cpu: fn(&PoolView) -> u64,
    ) -> u64 {
        let mut donors = self.donors(pools, target_cpu);
        let mut short: Vec<(u64, &PoolView)> = pools
            .iter()
            .filter(|pool| !pool.spare)
            .map(|pool| (self.shortage(pool, target_cpu(pool)), pool))
            .filter(|(shortage, _)| *shortage > 0)
            .collect();
        short.sort_by_key(|(shortage, _)| std::cmp::Reverse(*shortage));
        let mut unmet = 0;
        for (mut shortage, pool) in short {
            while shortage > 0 {
                let fit = |member: &PoolHost| {
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
                moves.push(self.order_move(&member, &pool.service));
            }
            unmet += shortage;
        }
        unmet
    }

    /// An order was answered, or not; returns whether the host moves.
    pub fn on_answer(
        &mut self,
        now: Instant,
        host: &HostName,
        result: Result<(), OrderError>,
    ) -> bool {
        let Some(pending) = self.pending.get_mut(host) else {
            return false;
        };
        match result {
            Ok(()) => {
                pending.until = Some(now + Duration::from_millis(MOVE_MS));
                self.idle.remove(host);
                true
            }
            Err(OrderError::Silent) => {
                // It may yet be carried out, so it is given until it's answered.
                pending.retry = Some(now + Duration::from_millis(RETRY_MS));
                false
            }
            Err(err) => {
                let pause = if err == OrderError::Gone {
                    UNFIT_BACKOFF_MS
                } else {
                    RETRY_MS
                };
                let until = now + Duration::from_millis(pause);
                let pool = pending.pool.clone();
                self.unfit.insert((host.clone(), pool), until);
                self.pending.remove(host);
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

    fn retry_moves(&mut self, now: Instant) -> Vec<Move> {
        let mut moves = Vec::new();
        for (host, pending) in &mut self.pending {
            if pending.retry.is_some_and(|at| at <= now) {
                pending.retry = None;
                let pool = pending.pool.clone();
                moves.push(Move {
                    host: host.clone(),
                    pool,
                });
            }
        }
        moves
    }

    fn order_move(&mut self, member: &PoolHost, pool: &ServiceName) -> Move {
        let pending = PendingMove {
            pool: pool.clone(),
            cpu: member.cpu,
            until: None,
            retry: None,
        };
        self.pending.insert(member.host.clone(), pending);
        Move {
            host: member.host.clone(),
            pool: pool.clone(),
        }
    }

    /// Hosts of a pool that take new work and are not about to leave it.
    fn staying<'a>(&self, pool: &'a PoolView) -> impl Iterator<Item = &'a PoolHost> {
        let hosts = pool.hosts.iter();
        hosts.filter(|member| member.available && !self.pending.contains_key(&member.host))
    }

    /// Processor that a pool has or will have, in thousandths of a core.
    fn supply(&self, pool: &PoolView) -> u64 {
        let here: u64 = self.staying(pool).map(|member| member.cpu).sum();
        let incoming = self
            .pending
            .values()
            .filter(|pending| pending.pool == pool.service);
        here + incoming.map(|pending| pending.cpu).sum::<u64>()
    }

    /// Number of hosts that are to join a pool.
    fn incoming(&self, pool: &PoolView) -> usize {
        let incoming = self.pending.values();
        incoming
            .filter(|pending| pending.pool == pool.service)
            .count()
    }

    fn count(&self, pool: &PoolView) -> usize {
        self.staying(pool).count() + self.incoming(pool)
    }

    fn needed_cpu(pool: &PoolView) -> u64 {
        pool.need + pool.need * MARGIN_PERCENT / 100
    }

    /// Processor that a pool may have while no other needs it, in thousandths of a core.
    fn usable_cpu(pool: &PoolView) -> u64 {
        Self::needed_cpu(pool) + pool.late_work
    }

    fn shortage(&self, pool: &PoolView, target_cpu: u64) -> u64 {
        let shortage = target_cpu.saturating_sub(self.supply(pool));
        let few = self.count(pool) < pool.min_hosts || self.incoming(pool) < pool.extra_hosts;
        if shortage == 0 && few {
            return 1;
        }
        shortage
    }

    /// Idle hosts that their pools can do without, those of the spare pool in front.
    fn donors(
        &self,
        pools: &[PoolView],
        target_cpu: fn(&PoolView) -> u64,
    ) -> Vec<(ServiceName, PoolHost)> {
        let mut donors = Vec::new();
        let mut order: Vec<&PoolView> = pools.iter().collect();
        order.sort_by_key(|pool| !pool.spare);
        for pool in order {
            for member in self.surplus(pool, target_cpu) {
                donors.push((pool.service.clone(), member));
            }
        }
        donors
    }

    fn surplus(&self, pool: &PoolView, target_cpu: fn(&PoolView) -> u64) -> Vec<PoolHost> {
        let mut supply = self.supply(pool);
        let mut count = self.count(pool);
        let wanted = if pool.spare { 0 } else { target_cpu(pool) };
        let min_hosts = if pool.spare { 0 } else { pool.min_hosts };
        let mut found = Vec::new();
        for member in &pool.hosts {
            let usable =
                member.idle && member.available && !self.pending.contains_key(&member.host);
            if usable && count > min_hosts && supply >= wanted + member.cpu {
                supply -= member.cpu;
                count -= 1;
                found.push(member.clone());
            }
        }
        found
    }

    /// Hosts that their pools can do without but on which tasks run, up to what other pools lack;
    /// those with the least to do in front.
    fn hosts_to_drain(&self, pools: &[PoolView], mut unmet: u64) -> BTreeSet<HostName> {
        let mut found = BTreeSet::new();
        for pool in pools.iter().filter(|pool| !pool.spare) {
            let mut supply = self.supply(pool);
            let mut count = self.count(pool);
            let mut busy: Vec<&PoolHost> = self.staying(pool).collect();
            busy.retain(|member| !member.idle && !member.lasting);
            busy.sort_by_key(|member| member.used);
            for member in busy {
                let kept = supply.saturating_sub(member.cpu);
                if unmet == 0 || count <= pool.min_hosts || kept < Self::needed_cpu(pool) {
                    break;
                }
                supply = kept;
                count -= 1;
                unmet = unmet.saturating_sub(member.cpu);
                found.insert(member.host.clone());
            }
        }
        found
    }

    /// Hosts that have been idle for long enough go to the spare pool.
    fn release_idle(&mut self, now: Instant, pools: &[PoolView]) -> Vec<Move> {
        let Some(spare) = pools.iter().find(|pool| pool.spare) else {
            return Vec::new();
        };
        let mut moves = Vec::new();
        for pool in pools.iter().filter(|pool| !pool.spare) {
            for member in self.surplus(pool, Self::usable_cpu) {
                let since = self.idle.get(&member.host);
                let rested =
                    since.is_some_and(|&since| now >= since + Duration::from_millis(IDLE_MS));
                let unfit = self
                    .unfit
                    .contains_key(&(member.host.clone(), spare.service.clone()));
                if rested && !unfit {
                    moves.push(self.order_move(&member, &spare.service));
                }
            }
        }
        moves
    }
}
