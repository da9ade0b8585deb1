//! A running scheduler process.

use std::time::Duration;
use std::time::Instant;

use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Limits;
use crate::node::Node;
use crate::node::NodeError;
use crate::node::Service;
use crate::node::probes;
use crate::record::Role;
use crate::sched::Scheduler;
use crate::sched::task::SchedTask;
use crate::settings::SchedSettings;

/// Longest that a stop waits for the replies to probes, in milliseconds.
const STOP_MS: u64 = 2_000;

/// Serves gates until it is stopped.
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
        SchedTask::spawn(
            scheduler,
            node.take_events(),
            node.subscribe(),
            node.recorder(),
            node.counters(),
        );
        let handler: Handler = probes(node.readiness());
        let handler = node.metrics().instrument(handler);
        let http = HttpServer::bind(settings.common.http, Limits::default(), handler)?;
        node.announce();
        Ok(Self { node, http })
    }

    /// Hands its services over and stops.
    pub async fn stop(self) {
        self.node.leave().await;
        self.http.stop();
        let deadline = Instant::now() + Duration::from_millis(STOP_MS);
        let _ = compio::time::timeout_at(deadline, self.http.stopped()).await;
    }
}

impl Service for SchedServer {
    fn node(&self) -> &Node {
        &self.node
    }
}
