//! Moves hosts between pools.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::Host;
use crate::batch::HostPhase;
use crate::batch::Now;
use crate::batch::OrderError;
use crate::batch::Resources;
use crate::batch::Transfer;
use crate::batch::dispatcher::host_orders::HostOrder;
use crate::batch::dispatcher::maintenance::is_settling;
use crate::batch::pool_balancer::Member;
use crate::batch::pool_balancer::PoolView;
use crate::batch::rank::Rank;
use crate::batch::waves::Load;
use crate::name::ServiceName;

/// Time between two looks at the pools, in milliseconds.
const LOOK_MS: u64 = 150;
/// Time between two lines on the pools, in milliseconds.
const TELL_MS: u64 = 1_000;
/// Time in which work is to be done that is too late to be of use, in milliseconds.
const LATE_MS: u64 = 4_000;
/// Fewest hosts of a pool that has work to do at times.
const FLOOR: usize = 2;

impl Dispatcher {
    /// Moves hosts to where their capacity is needed.
    pub(super) fn balance(&mut self, now: Now) {
        if now.at < self.balanced + Duration::from_millis(LOOK_MS) {
            return;
        }
        self.balanced = now.at;
        let views = self.views(now);
        self.tell_pools(now, &views);
        for step in self.pools.plan(now.at, &views) {
            info!(self.log, "move ordered"; "host" => %step.host, "pool" => %step.pool);
            let order = Transfer {
                host: step.host,
                pool: step.pool,
                holder: self.node.clone(),
                fence: self.fence,
            };
            self.announce(now, HostOrder::Transfer(order));
        }
        self.mark_usable(now);
    }

    /// Logs the pools' sizes and needs, once a while.
    fn tell_pools(&mut self, now: Now, views: &[PoolView]) {
        if now.at < self.told + Duration::from_millis(TELL_MS) {
            return;
        }
        self.told = now.at;
        for view in views {
            let idle = view.hosts.iter().filter(|member| member.idle).count();
            let seats = self.seats.values();
            let unheard = seats.filter(|seat| seat.is_unheard() && seat.service == view.service);
            let held = self.held.iter().filter_map(|id| self.state.jobs.get(id));
            let held = held.filter(|entry| entry.job.service == view.service);
            info!(self.log, "pool"; "service" => %view.service, "hosts" => view.hosts.len(),
                "idle" => idle, "need" => view.need, "late" => view.late, "forecast" => view.forecast, "floor" => view.floor,
                "lacking" => view.lacking,
                "unheard" => unheard.count(), "held" => held.count());
        }
    }

    pub(super) fn transferred(
        &mut self,
        now: Now,
        order: &Transfer,
        result: Result<(), OrderError>,
    ) {
        let Transfer { host, pool, .. } = order;
        match &result {
            Ok(()) => {
                info!(self.log, "move begun"; "host" => %host, "pool" => %pool);
                self.retire(now, host);
            }
            Err(OrderError::Fenced) => {
                warn!(self.log, "fenced"; "host" => %host, "fence" => self.fence);
                self.actions.push(Action::StepDown);
            }
            Err(err) => warn!(self.log, "move not begun"; "host" => %host, "why" => %err),
        }
        self.pools.answered(now.at, host, result);
        self.mark_usable(now);
        self.dirty = true;
    }

    fn views(&mut self, now: Now) -> Vec<PoolView> {
        let Some(policy) = self.directives.policy.clone() else {
            return Vec::new();
        };
        let mut running = self.running(now);
        let fleet = self.fleet();
        let mut views = Vec::new();
        for (service, pool) in &policy.pools {
            let used = policy.queues.iter().any(|queue| queue.service == *service);
            let forecast = self.meter.forecast(now.at, service);
            let running = running.remove(service).unwrap_or_default();
            let hosts = self.hosts.values().filter(|host| host.pool == *service);
            let hosts = hosts
                .map(|host| self.member(now, host, pool.spare))
                .collect();
            views.push(PoolView {
                service: service.clone(),
                spare: pool.spare,
                need: running.need(&fleet).max(forecast),
                late: running.late / LATE_MS,
                forecast,
                lacking: self.lacking.get(service).copied().unwrap_or(0),
                floor: if used { FLOOR.max(running.spread) } else { 0 },
                hosts,
            });
        }
        views
    }

    /// What all hosts have together.
    fn fleet(&self) -> Resources {
        let mut fleet = Resources::default();
        for host in self.hosts.values() {
            fleet.add(&host.capacity);
        }
        fleet
    }

    fn member(&self, now: Now, host: &Host, spare: bool) -> Member {
        let seat = self.on_host(&host.name).next().map(|(_, seat)| seat);
        let here = seat.and_then(|seat| seat.info.as_ref());
        let here = here.is_some_and(|info| info.service == host.pool && !info.draining);
        let here = here && seat.is_some_and(|seat| seat.resolved && !seat.silent);
        let due = self.waves.is_closed(Some(&host.name))
            || self.waves.is_away(now.at, &host.name)
            || is_settling(self.state.ordered.get(&host.name), now);
        let closed = self.directives.closed.contains(&host.dc);
        let load = self.load(&host.name);
        Member {
            host: host.name.clone(),
            cpu: host.capacity.cpu,
            used: seat.map_or(0, |seat| seat.used.cpu),
            idle: load == Load::default(),
            lasting: load.lasting > 0,
            open: host.phase == HostPhase::Up && (spare || here) && !closed && !due,
        }
    }

    /// What runs or could run now, by service. Tasks that may not start yet take hosts that are
    /// there, but none are fetched or kept for them.
    fn running(&self, now: Now) -> BTreeMap<ServiceName, Running> {
        let mut services: BTreeMap<ServiceName, Running> = BTreeMap::new();
        let unclear = self.unclear();
        let policy = self.directives.policy.as_ref();
        for entry in self.active.iter().filter_map(|id| self.state.jobs.get(id)) {
            let queue = policy.and_then(|policy| policy.queue_named(&entry.job.queue));
            let useless = Rank::of(entry, queue, now.unix).is_useless();
            let partitions = unclear.get(&entry.job.service);
            let partitions = partitions.copied().unwrap_or_default();
            let held = entry.may_run_unseen(partitions);
            let service = services.entry(entry.job.service.clone()).or_default();
            for stages in entry.occurrences.values() {
                for (stage, step) in stages.iter().zip(&entry.job.steps) {
                    let open = step.after.iter().all(|&n| stages[n as usize].is_done());
                    if !open {
                        continue;
                    }
                    let left = if held {
                        stage.placed().count()
                    } else {
                        stage.tasks.len() - stage.done as usize
                    };
                    if useless {
                        service.late += left as u64 * step.estimate * step.reserved().cpu;
                        continue;
                    }
                    service.demand.add(&step.reserved().times(left as u64));
                    if let Some(spread) = step.spread {
                        let hosts = (stage.tasks.len() as u64).div_ceil(u64::from(spread));
                        service.spread = service.spread.max(hosts as usize);
                    }
                }
            }
        }
        services
    }
}

/// What a service has to run.
#[derive(Debug, Default)]
struct Running {
    /// What its tasks take.
    demand: Resources,
    /// Work of jobs that are too late to be of use to their clients, in thousandths of a
    /// core-millisecond.
    late: u64,
    /// Hosts that a step must be spread over.
    spread: usize,
}

impl Running {
    /// Processor of the hosts that it takes, in thousandths of a core. Tasks that take more of a
    /// host's memory than of its processor count by their memory.
    fn need(&self, fleet: &Resources) -> u64 {
        let memory = self.demand.memory * fleet.cpu;
        let memory = memory.checked_div(fleet.memory).unwrap_or(0);
        self.demand.cpu.max(memory)
    }
}
