//! Moves hosts between pools as demand changes.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Host;
use crate::batch::HostPhase;
use crate::batch::Now;
use crate::batch::Obstacle;
use crate::batch::OrderError;
use crate::batch::Policy;
use crate::batch::Resources;
use crate::batch::Transfer;
use crate::batch::dispatcher::host_orders::HostOrder;
use crate::batch::dispatcher::maintenance::is_order_recent;
use crate::batch::service_backlog::ServiceBacklog;
use crate::batch::service_load::ServiceLoad;
use crate::batch::waves::RunCounts;
use crate::division::Claim;
use crate::division::TeamRoom;
use crate::division::divide;
use crate::name::ServiceName;
use crate::pools::HostCapacity;
use crate::pools::PoolHost;
use crate::pools::PoolView;
use crate::pools::without_margin;

/// Time between two rounds of balancing, in milliseconds.
const BALANCE_INTERVAL_MS: u64 = 150;
/// Time between two log summaries of the pools, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 1_000;
/// Priority of work that is forecast: that which is there comes before it.
const FORECAST_PRIORITY: u32 = u32::MAX;
/// Fewest hosts of a pool that some queue uses.
const MIN_HOSTS: usize = 2;

impl Dispatcher {
    /// Applies the platform's list of hosts.
    pub(super) fn update_hosts(&mut self, hosts: Vec<Host>) {
        let capacities: Vec<Resources> = hosts.iter().map(|host| host.capacity).collect();
        let capacity = HostCapacity::of(&capacities);
        self.ranks_changed |= capacity.largest != self.capacity.largest;
        self.capacity = capacity;
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), host));
        self.hosts = hosts.collect();
    }

    /// Orders moves of hosts to the pools that need their capacity.
    pub(super) fn balance(&mut self, now: Now) {
        if now.at < self.last_balance + Duration::from_millis(BALANCE_INTERVAL_MS) {
            return;
        }
        self.last_balance = now.at;
        self.update_backlog(now);
        let views = self.pool_views(now);
        self.log_pools(now, &views);
        for planned in self.pools.plan(now.at, &views) {
            info!(self.log, "move ordered"; "host" => %planned.host, "pool" => %planned.pool);
            let order = Transfer {
                host: planned.host,
                pool: planned.pool,
                holder: self.node.clone(),
                fence: self.fence,
            };
            self.record_order(now, HostOrder::Transfer(order));
        }
        self.mark_usable(now);
    }

    /// Logs the pools' sizes and needs, at most once per summary interval.
    fn log_pools(&mut self, now: Now, views: &[PoolView]) {
        if now.at < self.last_summary + Duration::from_millis(SUMMARY_INTERVAL_MS) {
            return;
        }
        self.last_summary = now.at;
        self.log_unseen();
        for view in views {
            let idle = view.hosts.iter().filter(|member| member.idle).count();
            let executors = self.executors.values();
            let executors: Vec<_> = executors
                .filter(|executor| executor.service == view.service)
                .collect();
            let unknown = executors
                .iter()
                .filter(|executor| executor.has_unknown_runs());
            let obstacles = executors
                .iter()
                .filter_map(|executor| executor.obstacle(now.at));
            let backlog = self.backlog.of(&view.service);
            let blocked = backlog.map_or(0, ServiceBacklog::blocked);
            info!(self.log, "pool summary"; "service" => %view.service, "hosts" => view.hosts.len(),
                "idle" => idle, "demand" => view.demand, "need" => view.need, "late" => view.late_cpu,
                "forecast" => view.forecast, "floor" => view.min_hosts,
                "lacking" => view.extra_hosts, "unheard" => unknown.count(), "held" => blocked,
                "jobs" => backlog.map_or(0, ServiceBacklog::len), "executors" => executors.len(),
                "without_work" => Obstacle::summary(obstacles));
        }
    }

    /// Logs what counts against teams' limits for unknown runs, if anything does.
    fn log_unseen(&mut self) {
        let unknown_usage = self.unknown_usage();
        let usages = unknown_usage.values();
        self.unseen_cpu = usages.fold(0, |sum, usage| sum.saturating_add(usage.cpu));
        let most = unknown_usage.iter().max_by_key(|(_, usage)| usage.cpu);
        if let Some((team, usage)) = most {
            info!(self.log, "limits count unknown runs"; "teams" => unknown_usage.len(),
                "cpu" => self.unseen_cpu, "most" => %team, "most_cpu" => usage.cpu);
        }
    }

    pub(super) fn on_transferred(
        &mut self,
        now: Now,
        order: &Transfer,
        result: Result<(), OrderError>,
    ) {
        let Transfer { host, pool, .. } = order;
        match &result {
            Ok(()) => {
                info!(self.log, "move begun"; "host" => %host, "pool" => %pool);
                self.on_order_done(now, host);
            }
            Err(OrderError::Fenced) => {
                warn!(self.log, "order fenced by a later owner; ending the term";
                    "host" => %host, "fence" => self.fence);
                self.actions.push(Action::StepDown);
            }
            Err(err) => warn!(self.log, "move order failed"; "host" => %host, "why" => %err),
        }
        self.note_order_result(host, &result);
        self.pools.on_answer(now.at, host, result);
        self.mark_usable(now);
        self.dirty = true;
    }

    fn pool_views(&mut self, now: Now) -> Vec<PoolView> {
        let Some(policy) = self.directives.policy.clone() else {
            return Vec::new();
        };
        let no_load = ServiceLoad::default();
        let extra_hosts = self.extra_hosts();
        let room = if self.divides {
            self.team_room(&policy)
        } else {
            TeamRoom::default()
        };
        let claims = self.claims(now, &policy, &room);
        let needs = if self.divides {
            divide(self.divisible_cpu(), &claims)
        } else {
            claims.iter().map(Claim::total).collect()
        };
        let lacking = claims.iter().zip(&needs);
        let lacking = lacking.map(|(claim, need)| claim.total().saturating_sub(*need));
        self.unmet_cpu = lacking.fold(0, u64::saturating_add);
        let mut views = Vec::new();
        for (at, (service, pool)) in policy.pools.iter().enumerate() {
            let used = policy.queues.iter().any(|queue| queue.service == *service);
            let forecast = self.meter.forecast(now.at, service);
            let backlog = self.backlog.of(service);
            let load = backlog.map_or(&no_load, ServiceBacklog::load);
            let hosts = self.hosts.values().filter(|host| host.pool == *service);
            let hosts = hosts
                .map(|host| self.pool_host(now, host, pool.spare))
                .collect();
            views.push(PoolView {
                service: service.clone(),
                spare: pool.spare,
                demand: claims[at].total(),
                need: needs[at],
                late_cpu: load.late_cpu(&room),
                forecast,
                extra_hosts: extra_hosts.get(service).copied().unwrap_or(0),
                min_hosts: if used {
                    MIN_HOSTS.max(load.min_hosts())
                } else {
                    0
                },
                hosts,
            });
        }
        views
    }

    /// Returns what the services of all pools need, in the order of the pools.
    fn claims(&mut self, now: Now, policy: &Policy, room: &TeamRoom) -> Vec<Claim> {
        let mut claims = Vec::new();
        for service in policy.pools.keys() {
            let load = self.backlog.of(service).map(ServiceBacklog::load);
            let claim = load.map(|load| load.claim(&self.capacity.total, room));
            let mut claim = claim.unwrap_or_default();
            claim.raise_to(FORECAST_PRIORITY, self.meter.forecast(now.at, service));
            claims.push(claim);
        }
        claims
    }

    /// Returns how much of their demand teams may run, beside what they may be running unseen.
    fn team_room(&self, policy: &Policy) -> TeamRoom {
        let unknown_usage = self.unknown_usage();
        let services = policy.pools.keys();
        let loads = services.filter_map(|service| Some(self.backlog.of(service)?.load()));
        TeamRoom::of(loads.flat_map(ServiceLoad::limited), |team| {
            let limits = policy.teams.get(team);
            let limit = limits.map_or(Resources::default(), |team| team.limit);
            limit.left(&unknown_usage.get(team).copied().unwrap_or_default())
        })
    }

    /// Returns the CPU that can be divided between pools, without the margin that each has beyond
    /// its need, in thousandths of a core. Hosts with impossible entries and those that get no work
    /// for long count for nothing.
    fn divisible_cpu(&self) -> u64 {
        let hosts = self.hosts.values().filter(|host| {
            let possible = host.capacity.is_within(&self.capacity.largest);
            let usable =
                host.phase != HostPhase::Down && !self.directives.closed.contains(&host.dc);
            possible && usable
        });
        let cpu = hosts.fold(0_u64, |sum, host| sum.saturating_add(host.capacity.cpu));
        without_margin(cpu)
    }

    /// Returns the number of hosts that long-running tasks of each service lack. Those of teams at
    /// their limits lack none: they could not start on them.
    fn extra_hosts(&self) -> BTreeMap<ServiceName, usize> {
        let mut extra_hosts = BTreeMap::new();
        if self.extra_hosts.is_empty() {
            return extra_hosts;
        }
        let unknown_usage = self.unknown_usage();
        for (id, (service, hosts)) in &self.extra_hosts {
            let Some(entry) = self.state.jobs.get(id) else {
                continue;
            };
            let demand = entry.remaining().least_demand;
            let team = entry.job.team.as_ref();
            if team.is_none_or(|team| !self.is_at_limit(team, &unknown_usage, &demand)) {
                *extra_hosts.entry(service.clone()).or_default() += hosts;
            }
        }
        extra_hosts
    }

    fn pool_host(&self, now: Now, host: &Host, spare: bool) -> PoolHost {
        let executor = self
            .executors_on(&host.name)
            .next()
            .map(|(_, executor)| executor);
        let here = executor.and_then(|executor| executor.info.as_ref());
        let here = here.is_some_and(|info| info.service == host.pool && !info.draining);
        let here = here
            && executor.is_some_and(|executor| executor.reported && !executor.heartbeat_failed);
        let due = self.waves.is_blocked(Some(&host.name))
            || self.waves.is_down(now.at, &host.name)
            || is_order_recent(self.state.ordered.get(&host.name), now);
        let closed = self.directives.closed.contains(&host.dc);
        let counts = self.run_counts(&host.name);
        PoolHost {
            host: host.name.clone(),
            cpu: host.capacity.cpu,
            ends: executor.map_or(now.at, |executor| executor.expected_end(now.at)),
            idle: counts == RunCounts::default(),
            long_running: counts.long_running > 0,
            available: host.phase == HostPhase::Up && (spare || here) && !closed && !due,
        }
    }
}
