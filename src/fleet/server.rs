//! A running fleet process.

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
use crate::node::Service;
use crate::observe::HlcTimestamp;
use crate::observe::Timeline;
use crate::platform::HostsClient;
use crate::record::Author;
use crate::record::Record;
use crate::record::Role;
use crate::settings::FleetSettings;
use crate::upkeep::Policy;
use crate::upkeep::UpkeepParts;
use crate::upkeep::UpkeepTask;

/// Author of records that come through the operators' interface.
const OPERATOR: &str = "operator";

/// Serves operators until it is stopped.
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
        let operators = Operators {
            follower: node.follower(),
            ready: node.readiness(),
            timeline: node.timeline(),
        };
        let api = OperatorsApi::new(Rc::new(operators), settings.operators);
        let http = HttpServer::bind(
            settings.common.http,
            OperatorsApi::LIMITS,
            node.metrics().instrument(api.into_handler()),
        )?;
        let platform = HostsClient::new(&settings.hosts.to_string());
        let parts = UpkeepParts {
            node: node.name().clone(),
            follower: node.follower(),
            platform: platform.map_err(std::io::Error::other)?,
            recorder: node.recorder(),
            log: node.log().clone(),
            policy: Policy::default(),
        };
        UpkeepTask::spawn(parts, node.take_events());
        node.announce();
        Ok(Self { node, http })
    }

    /// Finishes operators' requests in progress and stops.
    pub async fn stop(self) {
        self.http.stop();
        self.http.stopped().await;
        self.node.leave().await;
    }
}

impl Service for FleetServer {
    fn node(&self) -> &Node {
        &self.node
    }
}

struct Operators {
    follower: Follower,
    ready: Rc<Cell<bool>>,
    timeline: TimelineSource,
}

impl ApiBackend for Operators {
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
        // The append goes on when the operator's connection breaks.
        let append = compio::runtime::spawn(async move { follower.append_record(record).await });
        async move { append.await.map_or(Err(SubmitError::Unknown), judge) }.boxed_local()
    }

    fn view(&self) -> StateView {
        StateView::from(&*self.follower.state())
    }

    fn timeline(&self, since: HlcTimestamp) -> LocalBoxFuture<'static, Timeline> {
        (self.timeline)(since)
    }

    fn ready(&self) -> bool {
        self.ready.get()
    }
}

fn judge(result: Result<AppliedChange, ChangeError>) -> Result<Accepted, SubmitError> {
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
