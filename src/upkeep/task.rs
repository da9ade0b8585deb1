//! The task that owns the planner.

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

/// Key under which the planner is placed on a fleet process.
pub const UPKEEP_KEY: &[u8] = b"upkeep";
/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 1_000;
/// Longest that the platform may take to answer, in milliseconds.
const PLATFORM_MS: u64 = 900;
/// Time after which a process that is not the planner marks departures itself, in milliseconds.
const STAND_IN_MS: u64 = 3_000;
/// Most records of one step.
const BATCH_LIMIT: usize = 64;

enum Source {
    Net(NetEvent),
    Step,
}

/// What the task works with.
pub struct UpkeepParts {
    /// Name of the process.
    pub node: NodeName,
    /// The state, and the way to append.
    pub follower: Follower,
    /// The platform.
    pub platform: HostsClient,
    /// The time line.
    pub recorder: Recorder,
    /// Log of the process.
    pub log: Logger,
    /// Bounds of the planner.
    pub policy: Policy,
}

/// Follows reports and the platform's list, and plans on the process that the planner is placed on.
pub struct UpkeepTask {
    parts: UpkeepParts,
    planner: Planner,
    reports: LoadReports,
    listing: Option<Listing>,
    unmarked: Option<Instant>,
}

impl UpkeepTask {
    /// Starts the task.
    pub fn spawn(parts: UpkeepParts, net: UnboundedReceiver<NetEvent>) {
        let steps = futures_util::stream::unfold((), |()| async {
            compio::time::sleep(Duration::from_millis(STEP_MS)).await;
            Some((Source::Step, ()))
        });
        let sources = select_all([net.map(Source::Net).boxed_local(), steps.boxed_local()]);
        let task = Self {
            planner: Planner::new(parts.policy.clone()),
            parts,
            reports: LoadReports::default(),
            listing: None,
            unmarked: None,
        };
        compio::runtime::spawn(task.run(sources)).detach();
    }

    async fn run(mut self, mut sources: impl Stream<Item = Source> + Unpin) {
        while let Some(source) = sources.next().await {
            match source {
                Source::Net(event) => self.record(event),
                Source::Step => {
                    // Reports that came in meanwhile count before the step.
                    while let Some(Some(Source::Net(event))) = sources.next().now_or_never() {
                        self.record(event);
                    }
                    self.step().await;
                }
            }
        }
    }

    fn record(&mut self, event: NetEvent) {
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
        self.read_list().await;
        let now = unix_millis();
        self.reports.expire(now);
        let fresh = self.parts.follower.fresh_until();
        if fresh.is_none_or(|until| until <= Instant::now()) {
            return;
        }
        let state = self.parts.follower.state();
        let mut marks = self.marks(&state);
        if place(&state, Role::Fleet, UPKEEP_KEY) == Some(&self.parts.node) {
            let input = PlannerInput {
                state: &state,
                listing: self.listing.as_ref(),
                reports: &self.reports,
            };
            let actions = self.planner.step(now, &input);
            self.carry_out(actions, marks).await;
        } else if self.stands_in(&marks) {
            marks.truncate(BATCH_LIMIT);
            self.append_all(marks).await;
        }
    }

    async fn read_list(&mut self) {
        let deadline = Instant::now() + Duration::from_millis(PLATFORM_MS);
        match self.parts.platform.list(deadline).await {
            Ok(listing) => self.listing = Some(listing),
            Err(err) => debug!(self.parts.log, "cannot read the list of hosts"; "error" => %err),
        }
    }

    fn marks(&self, state: &Rc<State>) -> Vec<Change> {
        let listing = self.listing.as_ref();
        listing.map_or_else(Vec::new, |listing| listing_changes(state, listing))
    }

    // The planner marks departures at once; the others do so if it has not.
    fn stands_in(&mut self, marks: &[Change]) -> bool {
        if marks.is_empty() {
            self.unmarked = None;
            return false;
        }
        let now = Instant::now();
        let due = now + Duration::from_millis(STAND_IN_MS);
        *self.unmarked.get_or_insert(due) <= now
    }

    async fn carry_out(&self, actions: Vec<Action>, mut changes: Vec<Change>) {
        for action in actions {
            match action {
                Action::Append(change) => changes.push(change),
                Action::Reboot { host, plan } => self.reboot(host, plan),
                Action::Note(note) => {
                    info!(self.parts.log, "upkeep"; "kind" => ?note.kind, "cause" => &note.cause);
                    self.parts.recorder.record(*note);
                }
            }
        }
        changes.truncate(BATCH_LIMIT);
        self.append_all(changes).await;
    }

    async fn append_all(&self, changes: Vec<Change>) {
        let appends = changes
            .into_iter()
            .map(|change| self.parts.follower.append(None, change));
        for result in join_all(appends).await {
            match result.map(|applied| applied.outcome.result()) {
                Ok(Ok(_)) => {}
                Ok(Err(reject)) => debug!(self.parts.log, "rejected"; "reason" => %reject),
                Err(err) => warn!(self.parts.log, "cannot append"; "error" => %err),
            }
        }
    }

    fn reboot(&self, host: HostName, plan: u64) {
        let platform = self.parts.platform.clone();
        let log = self.parts.log.clone();
        compio::runtime::spawn(async move {
            let deadline = Instant::now() + Duration::from_millis(PLATFORM_MS);
            if let Err(err) = platform.reboot(&host, plan, deadline).await {
                warn!(log, "cannot ask for a reboot"; "host" => %host, "error" => %err);
            }
        })
        .detach();
    }
}
