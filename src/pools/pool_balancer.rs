//! Moves of hosts between pools: hosts follow the demand, and idle ones go to the spare pool.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::OrderError;
use crate::name::HostName;
use crate::name::ServiceName;
use crate::pools::HostMove;
use crate::pools::PoolHost;
use crate::pools::PoolView;

/// Time that a host takes to move, with a margin, in milliseconds.
const MOVE_MS: u64 = 4_000;
/// Time for which a host is idle before it moves to the spare pool, in milliseconds.
const IDLE_MS: u64 = 1_200;
/// Time between two orders for a host that could not be moved, in milliseconds.
const RETRY_MS: u64 = 500;
/// Time for which a host that can't join a pool is not ordered there again, in milliseconds.
const UNFIT_BACKOFF_MS: u64 = 30_000;
/// Longest time for which any number of a pool's hosts may be drained, in milliseconds. Each stands
/// nearly empty until its last task has ended.
const DRAIN_MS: u64 = 2_000;
/// Part of a pool's hosts that may be drained for longer: one of this many.
const SLOW_PART: usize = 4;
/// Time in which a host that took too long to drain is not drained again, in milliseconds.
const DRAIN_PAUSE_MS: u64 = 4_000;
/// Capacity that a pool should have beyond its need, in percent of the need.
const MARGIN_PERCENT: u64 = 10;

/// Returns the largest need whose pool has `cpu` with its margin; both in thousandths of a core.
#[must_use]
pub const fn without_margin(cpu: u64) -> u64 {
    cpu / (100 + MARGIN_PERCENT) * 100
}

/// A move that was ordered.
#[derive(Debug)]
struct PendingMove {
    pool: ServiceName,
    cpu: u64,
    /// Until when the host counts for the pool that it joins without being listed there; `None`
    /// until the order is carried out.
    until: Option<Instant>,
    retry: Option<Instant>,
}

/// Plans the moves of hosts between pools.
#[derive(Debug, Default)]
pub struct PoolBalancer {
    pending: BTreeMap<HostName, PendingMove>,
    // Hosts that get no new work, so that they can move to other pools soon, and until when.
    draining: BTreeMap<HostName, Instant>,
    // Hosts that were drained for too long, and until when they aren't drained again.
    undrained: BTreeMap<HostName, Instant>,
    idle: BTreeMap<HostName, Instant>,
    unfit: BTreeMap<(HostName, ServiceName), Instant>,
}

impl PoolBalancer {
    /// Whether a host has an order to move that is not carried out yet, so that it gets no new
    /// work.
    #[must_use]
    pub fn has_pending_move(&self, host: Option<&HostName>) -> bool {
        let pending = host.and_then(|host| self.pending.get(host));
        pending.is_some_and(|pending| pending.until.is_none())
    }

    /// Whether a host is being drained for another pool, so that it gets no new work.
    #[must_use]
    pub fn is_draining(&self, host: Option<&HostName>) -> bool {
        host.is_some_and(|host| self.draining.contains_key(host))
    }

    /// Returns the moves to order now.
    pub fn plan(&mut self, now: Instant, pools: &[PoolView]) -> Vec<HostMove> {
        self.pending
            .retain(|_, pending| pending.until.is_none_or(|until| now < until));
        self.unfit.retain(|_, until| now < *until);
        self.note_idle(now, pools);
        let mut moves = self.retry_moves(now);
        let unmet = self.fill_shortages(pools, &mut moves, Self::needed_cpu);
        if unmet == 0 {
            self.fill_shortages(pools, &mut moves, Self::usable_cpu);
        }
        self.drain(now, pools, unmet);
        moves.extend(self.release_idle(now, pools));
        moves
    }

    /// Moves idle hosts from pools that have more CPU than `target_cpu` to those that have less,
    /// one by one to the pool that lacks the largest part of it. Returns the CPU that is still
    /// lacking, in thousandths of a core.
    fn fill_shortages(
        &mut self,
        pools: &[PoolView],
        moves: &mut Vec<HostMove>,
        target_cpu: fn(&PoolView) -> u64,
    ) -> u64 {
        let mut donors = self.donors(pools, target_cpu);
        let mut shortages: Vec<Shortage> = pools
            .iter()
            .filter(|pool| !pool.spare)
            .map(|pool| Shortage {
                pool: &pool.service,
                lacking: self.shortage(pool, target_cpu(pool)),
                target: target_cpu(pool),
            })
            .collect();
        let mut unmet = 0_u64;
        while let Some(at) = worst(&shortages) {
            let shortage = &mut shortages[at];
            let found = donors.iter().position(|(from, member)| {
                from != shortage.pool && self.is_fit(&member.host, shortage.pool)
            });
            let Some(found) = found else {
                unmet = unmet.saturating_add(std::mem::take(&mut shortage.lacking));
                continue;
            };
            let (_, member) = donors.remove(found);
            shortage.lacking = shortage.lacking.saturating_sub(member.cpu);
            moves.push(self.order_move(&member, shortage.pool));
        }
        unmet
    }

    /// Whether a host has not refused to move to a pool lately.
    fn is_fit(&self, host: &HostName, pool: &ServiceName) -> bool {
        !self.unfit.contains_key(&(host.clone(), pool.clone()))
    }

    /// Applies the result of an order; returns whether the host is moving.
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
                // The order may still be carried out, so it is repeated until there is an answer.
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

    fn retry_moves(&mut self, now: Instant) -> Vec<HostMove> {
        let mut moves = Vec::new();
        for (host, pending) in &mut self.pending {
            if pending.retry.is_some_and(|at| at <= now) {
                pending.retry = None;
                let pool = pending.pool.clone();
                moves.push(HostMove {
                    host: host.clone(),
                    pool,
                });
            }
        }
        moves
    }

    fn order_move(&mut self, member: &PoolHost, pool: &ServiceName) -> HostMove {
        let pending = PendingMove {
            pool: pool.clone(),
            cpu: member.cpu,
            until: None,
            retry: None,
        };
        self.pending.insert(member.host.clone(), pending);
        HostMove {
            host: member.host.clone(),
            pool: pool.clone(),
        }
    }

    /// Returns the hosts of a pool that can be used and have no order to leave it.
    fn staying<'a>(&self, pool: &'a PoolView) -> impl Iterator<Item = &'a PoolHost> {
        let hosts = pool.hosts.iter();
        hosts.filter(|member| member.available && !self.pending.contains_key(&member.host))
    }

    /// Returns the CPU that a pool has, pending moves included, in thousandths of a core.
    fn supply(&self, pool: &PoolView) -> u64 {
        let here = self.staying(pool).map(|member| member.cpu);
        let incoming = self
            .pending
            .values()
            .filter(|pending| pending.pool == pool.service);
        let incoming = incoming.map(|pending| pending.cpu);
        here.chain(incoming).fold(0, u64::saturating_add)
    }

    /// Returns the number of hosts that have been ordered to join a pool.
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
        let margin = pool.need.saturating_mul(MARGIN_PERCENT) / 100;
        pool.need.saturating_add(margin)
    }

    /// Returns the CPU that a pool may have while no other pool is short, in thousandths of a core.
    fn usable_cpu(pool: &PoolView) -> u64 {
        Self::needed_cpu(pool).saturating_add(pool.late_cpu)
    }

    /// Returns the CPU that a pool lacks, in thousandths of a core. If it lacks only hosts, that is
    /// 1, so that one host is moved, after those for pools that lack CPU.
    fn shortage(&self, pool: &PoolView, target_cpu: u64) -> u64 {
        let shortage = target_cpu.saturating_sub(self.supply(pool));
        let few = self.count(pool) < pool.min_hosts || self.incoming(pool) < pool.extra_hosts;
        if shortage == 0 && few {
            return 1;
        }
        shortage
    }

    /// Returns idle hosts that their pools don't need, those of the spare pool first.
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
            if usable && count > min_hosts && supply >= wanted.saturating_add(member.cpu) {
                supply -= member.cpu;
                count -= 1;
                found.push(member.clone());
            }
        }
        found
    }

    /// Drains hosts for pools that lack `unmet` CPU.
    fn drain(&mut self, now: Instant, pools: &[PoolView], unmet: u64) {
        self.undrained.retain(|_, until| now < *until);
        let hosts = self.hosts_to_drain(now, pools, unmet);
        let until = now + Duration::from_millis(DRAIN_MS);
        let draining = hosts.into_iter().map(|host| {
            let until = self.draining.get(&host).copied().unwrap_or(until);
            (host, until)
        });
        let draining: BTreeMap<HostName, Instant> = draining.collect();
        let pause = now + Duration::from_millis(DRAIN_PAUSE_MS);
        for (host, until) in &self.draining {
            if now >= *until && !draining.contains_key(host) {
                self.undrained.insert(host.clone(), pause);
            }
        }
        self.draining = draining;
    }

    /// Returns busy hosts to drain, which their pools don't need, up to the CPU that other pools
    /// lack. Those whose tasks end soonest come first; hosts with long-running tasks are left out.
    fn hosts_to_drain(&self, now: Instant, pools: &[PoolView], mut unmet: u64) -> Vec<HostName> {
        let mut found = Vec::new();
        for pool in pools.iter().filter(|pool| !pool.spare) {
            let mut supply = self.supply(pool);
            let mut count = self.count(pool);
            let mut slow_left = (count / SLOW_PART).max(1);
            for member in self.drainable(pool) {
                let kept = supply.saturating_sub(member.cpu);
                if unmet == 0 || count <= pool.min_hosts || kept < Self::needed_cpu(pool) {
                    break;
                }
                if self.is_slow(now, member) {
                    if slow_left == 0 {
                        continue;
                    }
                    slow_left -= 1;
                }
                supply = kept;
                count -= 1;
                unmet = unmet.saturating_sub(member.cpu);
                found.push(member.host.clone());
            }
        }
        found
    }

    /// Returns the busy hosts of a pool that may be drained, those whose tasks end soonest first.
    fn drainable<'a>(&self, pool: &'a PoolView) -> Vec<&'a PoolHost> {
        let mut busy: Vec<&PoolHost> = self.staying(pool).collect();
        busy.retain(|member| {
            let kept = member.long_running || self.undrained.contains_key(&member.host);
            !member.idle && !kept
        });
        busy.sort_by_key(|member| member.ends);
        busy
    }

    /// Whether draining a host takes, or is expected to take, longer than [`DRAIN_MS`].
    fn is_slow(&self, now: Instant, member: &PoolHost) -> bool {
        let until = self.draining.get(&member.host);
        until.is_some_and(|&until| now >= until)
            || member.ends > now + Duration::from_millis(DRAIN_MS)
    }

    /// Moves hosts that have been idle for long enough to the spare pool.
    fn release_idle(&mut self, now: Instant, pools: &[PoolView]) -> Vec<HostMove> {
        let Some(spare) = pools.iter().find(|pool| pool.spare) else {
            return Vec::new();
        };
        let mut moves = Vec::new();
        for pool in pools.iter().filter(|pool| !pool.spare) {
            for member in self.surplus(pool, Self::usable_cpu) {
                let since = self.idle.get(&member.host);
                let idle_enough =
                    since.is_some_and(|&since| now >= since + Duration::from_millis(IDLE_MS));
                if idle_enough && self.is_fit(&member.host, &spare.service) {
                    moves.push(self.order_move(&member, &spare.service));
                }
            }
        }
        moves
    }
}

/// CPU that a pool lacks, in thousandths of a core.
struct Shortage<'a> {
    pool: &'a ServiceName,
    lacking: u64,
    /// CPU that it should have.
    target: u64,
}

impl Shortage<'_> {
    /// Returns the part of its CPU that the pool lacks.
    fn part(&self) -> f64 {
        self.lacking as f64 / self.target.max(1) as f64
    }
}

/// Returns the index of the pool that lacks the largest part of its CPU, if any lacks some.
fn worst(shortages: &[Shortage<'_>]) -> Option<usize> {
    let lacking = shortages.iter().enumerate();
    let lacking = lacking.filter(|(_, shortage)| shortage.lacking > 0);
    let worst = lacking.max_by(|(_, one), (_, other)| one.part().total_cmp(&other.part()));
    worst.map(|(at, _)| at)
}
