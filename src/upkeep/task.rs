//! Event loop of upkeep in a fleet process.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::FutureExt;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::select_all;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;

use crate::member::Follower;
use crate::member::place;
use crate::name::HostName;
use crate::name::NodeName;
use crate::net::NetEvent;
use crate::observe::Recorder;
use crate::observe::unix_millis;
use crate::platform::HostsClient;
use crate::record::Change;
use crate::record::Role;
use crate::record::State;
use crate::upkeep::Action;
use crate::upkeep::Listing;
use crate::upkeep::LoadReports;
use crate::upkeep::Planner;
use crate::upkeep::PlannerInput;
use crate::upkeep::Policy;
use crate::upkeep::listing_changes;
use crate::wire::Message;

/// Key by which the planner is placed on a fleet process.
pub const UPKEEP_KEY: &[u8] = b"upkeep";
/// Interval between two planner steps, in milliseconds.
const STEP_MS: u64 = 1_000;
/// Timeout of requests to the platform, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 900;
/// Time after which a process without the planner appends outstanding changes of the platform's
/// list itself, in milliseconds.
const STAND_IN_MS: u64 = 3_000;
/// Maximum number of records appended in one step.
const BATCH_LIMIT: usize = 64;

enum Source {
    Net(NetEvent),
    Step,
}

/// Dependencies of the upkeep task.
pub struct UpkeepContext {
    /// Name of the process.
    pub node: NodeName,
    /// Gives the state and appends to the log.
    pub follower: Follower,
    /// Client of the platform.
    pub platform: HostsClient,
    /// Records decisions on the time line.
    pub recorder: Recorder,
    /// Logger of the process.
    pub log: Logger,
    /// Limits and times of the planner.
    pub policy: Policy,
}

/// Collects load reports and the platform's list of hosts, and runs the planner while it is placed
/// on this process.
pub struct UpkeepTask {
    context: UpkeepContext,
    planner: Planner,
    reports: LoadReports,
    listing: Option<Listing>,
    /// When this process appends changes of the list although the planner is elsewhere; none while
    /// there are none.
    fallback_at: Option<Instant>,
}

impl UpkeepTask {
    /// Starts the event loop in the background; it runs as long as the process.
    pub fn spawn(context: UpkeepContext, net: UnboundedReceiver<NetEvent>) {
        let steps = futures_util::stream::unfold((), |()| async {
            compio::time::sleep(Duration::from_millis(STEP_MS)).await;
            Some((Source::Step, ()))
        });
        let sources = select_all([net.map(Source::Net).boxed_local(), steps.boxed_local()]);
        let task = Self {
            planner: Planner::new(context.policy.clone()),
            context,
            reports: LoadReports::default(),
            listing: None,
            fallback_at: None,
        };
        compio::runtime::spawn(task.run(sources)).detach();
    }

    async fn run(mut self, mut sources: impl Stream<Item = Source> + Unpin) {
        while let Some(source) = sources.next().await {
            match source {
                Source::Net(event) => self.record_load(event),
                Source::Step => {
                    // Handle the reports that have already arrived before planning.
                    while let Some(Some(Source::Net(event))) = sources.next().now_or_never() {
                        self.record_load(event);
                    }
                    self.step().await;
                }
            }
        }
    }

    fn record_load(&mut self, event: NetEvent) {
        let NetEvent::Message { link, message } = event else {
            return;
        };
        if let Message::ServiceLoad {
            offset,
            complete,
            services,
        } = message
        {
            let peer = link.peer();
            let source = (peer.node.clone(), peer.incarnation);
            self.reports
                .record(unix_millis(), source, offset, complete, services);
        }
    }

    async fn step(&mut self) {
        self.read_listing().await;
        let now = unix_millis();
        self.reports.expire(now);
        let fresh = self.context.follower.fresh_until();
        if fresh.is_none_or(|until| until <= Instant::now()) {
            return;
        }
        let state = self.context.follower.state();
        let mut changes = self.listing_changes(&state);
        if place(&state, Role::Fleet, UPKEEP_KEY) == Some(&self.context.node) {
            let input = PlannerInput {
                state: &state,
                listing: self.listing.as_ref(),
                reports: &self.reports,
            };
            let actions = self.planner.step(now, &input);
            self.execute(actions, changes).await;
        } else if self.may_stand_in(&changes) {
            changes.truncate(BATCH_LIMIT);
            self.append_all(changes).await;
        }
    }

    async fn read_listing(&mut self) {
        let deadline = Instant::now() + Duration::from_millis(PLATFORM_TIMEOUT_MS);
        match self.context.platform.list(deadline).await {
            Ok(listing) => self.listing = Some(listing),
            Err(err) => {
                debug!(self.context.log, "cannot read the platform's hosts; keeping the last list"; "error" => %err)
            }
        }
    }

    fn listing_changes(&self, state: &Rc<State>) -> Vec<Change> {
        let listing = self.listing.as_ref();
        listing.map_or_else(Vec::new, |listing| listing_changes(state, listing))
    }

    // The planner's process appends these changes at once; the others do so if it has not.
    fn may_stand_in(&mut self, changes: &[Change]) -> bool {
        if changes.is_empty() {
            self.fallback_at = None;
            return false;
        }
        let now = Instant::now();
        let due = now + Duration::from_millis(STAND_IN_MS);
        *self.fallback_at.get_or_insert(due) <= now
    }

    async fn execute(&self, actions: Vec<Action>, mut changes: Vec<Change>) {
        for action in actions {
            match action {
                Action::Append(change) => changes.push(change),
                Action::Reboot { host, plan } => self.reboot(host, plan),
                Action::Note(note) => {
                    info!(self.context.log, "upkeep"; "kind" => ?note.kind, "cause" => &note.cause);
                    self.context.recorder.record(*note);
                }
            }
        }
        changes.truncate(BATCH_LIMIT);
        self.append_all(changes).await;
    }

    async fn append_all(&self, changes: Vec<Change>) {
        let appends = changes
            .into_iter()
            .map(|change| self.context.follower.append(None, change));
        for result in join_all(appends).await {
            match result.map(|applied| applied.outcome.result()) {
                Ok(Ok(_)) => {}
                Ok(Err(reject)) => {
                    debug!(self.context.log, "upkeep change rejected"; "reason" => %reject)
                }
                Err(err) => warn!(self.context.log, "cannot append upkeep change"; "error" => %err),
            }
        }
    }

    fn reboot(&self, host: HostName, plan: u64) {
        let platform = self.context.platform.clone();
        let log = self.context.log.clone();
        compio::runtime::spawn(async move {
            let deadline = Instant::now() + Duration::from_millis(PLATFORM_TIMEOUT_MS);
            if let Err(err) = platform.reboot(&host, plan, deadline).await {
                warn!(log, "reboot request failed; retrying later"; "host" => %host, "error" => %err);
            }
        })
        .detach();
    }
}
