//! Fleet process: operators' API, HTTP endpoint and upkeep task.

use std::cell::Cell;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::fleet::Accepted;
use crate::fleet::ApiBackend;
use crate::fleet::OperatorsApi;
use crate::fleet::StateView;
use crate::fleet::Submission;
use crate::fleet::SubmitError;
use crate::http::HttpServer;
use crate::member::AppliedChange;
use crate::member::ChangeError;
use crate::member::Follower;
use crate::net::TimelineSource;
use crate::node::Node;
use crate::node::NodeError;
use crate::node::NodeProcess;
use crate::observe::HlcTimestamp;
use crate::observe::Timeline;
use crate::platform::HostsClient;
use crate::record::Author;
use crate::record::Record;
use crate::record::Role;
use crate::settings::FleetSettings;
use crate::upkeep::Policy;
use crate::upkeep::UpkeepContext;
use crate::upkeep::UpkeepTask;

/// Author of records submitted through the operators' API.
const OPERATOR: &str = "operator";

/// A running fleet process; serves operators until it is stopped.
pub struct FleetServer {
    node: Node,
    http: HttpServer,
}

impl FleetServer {
    /// Starts a fleet process.
    ///
    /// # Errors
    /// A [`NodeError`] if an address cannot be bound or a certificate cannot be used.
    pub async fn spawn(settings: FleetSettings) -> Result<Self, NodeError> {
        let mut node = Node::spawn(&settings.common, Role::Fleet).await?;
        let backend = FollowerBackend {
            follower: node.follower(),
            ready: node.readiness(),
            timeline: node.timeline(),
        };
        let api = OperatorsApi::new(Rc::new(backend), settings.operators);
        let http = HttpServer::bind_observed(
            settings.common.http,
            OperatorsApi::limits(settings.common.budget),
            node.metrics().instrument(api.into_handler()),
            node.intake_observer(),
        )?;
        let platform = HostsClient::new(&settings.hosts.to_string());
        let context = UpkeepContext {
            node: node.name().clone(),
            follower: node.follower(),
            platform: platform.map_err(std::io::Error::other)?,
            recorder: node.recorder(),
            log: node.log().clone(),
            policy: Policy::default(),
        };
        UpkeepTask::spawn(context, node.take_events());
        node.join();
        Ok(Self { node, http })
    }

    /// Stops accepting requests, completes those in progress, and leaves the fleet.
    pub async fn stop(self) {
        self.http.stop();
        self.http.stopped().await;
        self.node.leave().await;
    }
}

impl NodeProcess for FleetServer {
    fn node(&self) -> &Node {
        &self.node
    }
}

/// Appends changes to the log and reads the state through the process's [`Follower`].
struct FollowerBackend {
    follower: Follower,
    ready: Rc<Cell<bool>>,
    timeline: TimelineSource,
}

impl ApiBackend for FollowerBackend {
    fn submit(
        &self,
        submission: Submission,
    ) -> LocalBoxFuture<'static, Result<Accepted, SubmitError>> {
        let follower = self.follower.clone();
        let record = Record {
            id: submission.id,
            base: submission.base,
            author: Author::Operator(OPERATOR.to_owned()),
            at: crate::observe::unix_millis(),
            change: submission.change,
        };
        // Spawned, so that the append continues if the operator's connection breaks.
        let append = compio::runtime::spawn(async move { follower.append_record(record).await });
        async move {
            append
                .await
                .map_or(Err(SubmitError::Unknown), submit_result)
        }
        .boxed_local()
    }

    fn view(&self) -> StateView {
        StateView::from(&*self.follower.state())
    }

    fn timeline(&self, since: HlcTimestamp) -> LocalBoxFuture<'static, Timeline> {
        (self.timeline)(since)
    }

    fn is_ready(&self) -> bool {
        self.ready.get()
    }
}

fn submit_result(result: Result<AppliedChange, ChangeError>) -> Result<Accepted, SubmitError> {
    match result {
        Ok(applied) => match applied.outcome.result() {
            Ok(revision) => Ok(Accepted {
                revision,
                in_force: applied.in_force,
            }),
            Err(reject) => Err(SubmitError::Rejected(reject.to_string())),
        },
        Err(ChangeError::NotAppended(reason)) => Err(SubmitError::NotAppended(reason)),
        Err(_) => Err(SubmitError::Unknown),
    }
}
