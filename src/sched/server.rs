//! A running scheduler process.

use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Limits;
use crate::node::Node;
use crate::node::NodeError;
use crate::node::probes;
use crate::record::Role;
use crate::sched::Scheduler;
use crate::sched::task::SchedTask;
use crate::settings::SchedSettings;

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
        let handler = node.metrics().watch(handler);
        let http = HttpServer::bind(settings.common.http, Limits::default(), handler)?;
        node.announce();
        Ok(Self { node, http })
    }

    /// Hands its services over and stops.
    pub async fn stop(self) {
        self.node.leave().await;
        self.http.stop();
        self.http.stopped().await;
    }
}
