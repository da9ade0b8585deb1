//! Scheduler process: network, HTTP endpoint and task.

use std::time::Duration;
use std::time::Instant;

use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Limits;
use crate::intake::Listener;
use crate::node::Node;
use crate::node::NodeError;
use crate::node::NodeProcess;
use crate::node::probe_handler;
use crate::record::Role;
use crate::sched::Scheduler;
use crate::sched::task::SchedulerTask;
use crate::settings::SchedSettings;

/// How long a stop waits for pending health-check responses, in milliseconds.
const STOP_MS: u64 = 2_000;

/// A running scheduler process; serves gates until it is stopped.
pub struct SchedServer {
    node: Node,
    http: HttpServer,
}

impl SchedServer {
    /// Starts a scheduler.
    ///
    /// # Errors
    /// A [`NodeError`] if an address cannot be bound or a certificate cannot be used.
    pub async fn spawn(settings: SchedSettings) -> Result<Self, NodeError> {
        let mut node = Node::spawn(&settings.common, Role::Sched).await?;
        let scheduler = Scheduler::new(node.name().clone(), node.incarnation());
        SchedulerTask::spawn(
            scheduler,
            node.take_events(),
            node.subscribe(),
            node.recorder(),
            node.counters(),
        );
        let handler: Handler = probe_handler(node.readiness());
        let handler = node.metrics().instrument(handler);
        let limits = Limits {
            intake: settings.common.budget.listener(Listener::Front),
            ..Limits::default()
        };
        let observer = node.intake_observer();
        let http = HttpServer::bind_observed(settings.common.http, limits, handler, observer)?;
        node.join();
        Ok(Self { node, http })
    }

    /// Leaves the fleet, so that its services are placed on other schedulers, and stops.
    pub async fn stop(self) {
        self.node.leave().await;
        self.http.stop();
        let deadline = Instant::now() + Duration::from_millis(STOP_MS);
        let _ = compio::time::timeout_at(deadline, self.http.stopped()).await;
    }
}

impl NodeProcess for SchedServer {
    fn node(&self) -> &Node {
        &self.node
    }
}
