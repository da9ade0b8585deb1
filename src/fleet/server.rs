//! A running fleet process.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;

use crate::fleet::Accepted;
use crate::fleet::Backend;
use crate::fleet::OperatorsApi;
use crate::fleet::Submission;
use crate::fleet::SubmitError;
use crate::fleet::View;
use crate::http::HttpServer;
use crate::http::Limits;
use crate::member::Appender;
use crate::member::ChangeError;
use crate::member::StateEvent;
use crate::node::Node;
use crate::node::NodeError;
use crate::record::Author;
use crate::record::Outcome;
use crate::record::Record;
use crate::record::Role;
use crate::record::State;
use crate::settings::FleetSettings;

/// Most bytes of an operator's request.
const BODY_LIMIT: usize = 8 << 20;
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
        let node = Node::spawn(&settings.node, Role::Fleet).await?;
        let state = Rc::new(RefCell::new(Rc::default()));
        compio::runtime::spawn(keep_state(node.subscribe(), state.clone())).detach();
        let operators = Operators {
            appender: node.appender(),
            state,
            ready: node.readiness(),
        };
        let api = OperatorsApi::new(Rc::new(operators), settings.operators);
        let limits = Limits {
            body_bytes: BODY_LIMIT,
            ..Limits::default()
        };
        let http = HttpServer::bind(settings.node.http, limits, api.into_handler())?;
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

async fn keep_state(mut events: UnboundedReceiver<StateEvent>, state: Rc<RefCell<Rc<State>>>) {
    while let Some(event) = events.next().await {
        if let StateEvent::State(newer) = event {
            state.replace(newer);
        }
    }
}

struct Operators {
    appender: Appender,
    state: Rc<RefCell<Rc<State>>>,
    ready: Rc<Cell<bool>>,
}

impl Backend for Operators {
    fn submit(
        &self,
        submission: Submission,
    ) -> LocalBoxFuture<'static, Result<Accepted, SubmitError>> {
        let appender = self.appender.clone();
        let record = Record {
            id: submission.id,
            base: submission.base,
            author: Author::Operator(OPERATOR.to_owned()),
            at: crate::observe::unix_millis(),
            change: submission.change,
        };
        async move { judge(appender.append_record(record).await) }.boxed_local()
    }

    fn view(&self) -> View {
        View::from(&**self.state.borrow())
    }

    fn ready(&self) -> bool {
        self.ready.get()
    }
}

fn judge(result: Result<(Outcome, bool), ChangeError>) -> Result<Accepted, SubmitError> {
    match result {
        Ok((outcome, in_force)) => match outcome.settled() {
            Ok(revision) => Ok(Accepted { revision, in_force }),
            Err(reject) => Err(SubmitError::Rejected(reject.to_string())),
        },
        Err(ChangeError::NotAppended(reason)) => Err(SubmitError::NotAppended(reason)),
        Err(_) => Err(SubmitError::Unknown),
    }
}
