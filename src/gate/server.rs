//! The gate process.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::UnboundedSender;
use futures_channel::mpsc::unbounded;
use futures_util::FutureExt;
use hyper::Method;
use hyper::Request;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;

use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::Gate;
use crate::gate::handler;
use crate::gate::step::Input;
use crate::gate::task::GateTask;
use crate::http::ClientBody;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Limits;
use crate::intake::Listener;
use crate::name::ServiceName;
use crate::node::Node;
use crate::node::NodeError;
use crate::node::NodeProcess;
use crate::node::probe_reply;
use crate::record::Role;
use crate::settings::GateSettings;
use crate::wire::Peer;

/// Prefix of the path of callers' requests; a service name follows.
const SERVICES_PREFIX: &str = "/v1/services/";
/// Suffix of the path of callers' requests.
const REQUESTS_SUFFIX: &str = "/requests";
/// Time for the load balancer to notice that the gate is not ready, in milliseconds.
const READINESS_DELAY_MS: u64 = 1_000;
/// Maximum time that a graceful stop waits for requests in progress, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 60_000;
/// Time between two checks of the requests in progress during a stop, in milliseconds.
const PENDING_POLL_MS: u64 = 20;

/// A running gate, which serves callers until it is stopped.
pub struct GateServer {
    node: Node,
    http: HttpServer,
    inputs: UnboundedSender<Input>,
    pending: Rc<Cell<usize>>,
    stopping: Rc<Cell<bool>>,
}

impl GateServer {
    /// Joins the membership and starts to serve callers.
    ///
    /// # Errors
    /// A [`NodeError`] if an address cannot be bound or a certificate cannot be used.
    pub async fn spawn(settings: GateSettings) -> Result<Self, NodeError> {
        let mut node = Node::spawn(&settings.common, Role::Gate).await?;
        let (inputs, received) = unbounded();
        let ready = Rc::new(Cell::new(false));
        let pending = Rc::new(Cell::new(0));
        let gate = Gate::new(Peer {
            node: node.name().clone(),
            incarnation: node.incarnation(),
        });
        GateTask::spawn(
            gate,
            node.take_events(),
            node.subscribe(),
            (inputs.clone(), received),
            ready.clone(),
            pending.clone(),
            node.recorder(),
        );
        let stopping = Rc::new(Cell::new(false));
        let handler = route(inputs.clone(), ready, settings.body_limit);
        let handler = close_connections(stopping.clone(), handler);
        let handler = node.metrics().instrument(handler);
        let limits = Limits {
            body_bytes: settings.body_limit,
            intake: settings.common.budget.listener(Listener::Front),
            ..Limits::default()
        };
        let observer = node.intake_observer();
        let http = HttpServer::bind_observed(settings.common.http, limits, handler, observer)?;
        node.join();
        Ok(Self {
            node,
            http,
            inputs,
            pending,
            stopping,
        })
    }

    /// Bound address for callers' HTTP requests.
    #[must_use]
    pub const fn http_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Stops without interrupting requests. First reports not ready and closes each connection
    /// after its next response, then accepts no new connections, then waits for the requests in
    /// progress and leaves the membership.
    pub async fn stop(self) {
        self.stopping.set(true);
        let _ = self.inputs.unbounded_send(Input::Stop);
        compio::time::sleep(Duration::from_millis(READINESS_DELAY_MS)).await;
        self.http.stop();
        let deadline = Instant::now() + Duration::from_millis(STOP_TIMEOUT_MS);
        while self.pending.get() > 0 && Instant::now() < deadline {
            compio::time::sleep(Duration::from_millis(PENDING_POLL_MS)).await;
        }
        let _ = compio::time::timeout_at(deadline, self.http.stopped()).await;
        self.node.leave().await;
    }
}

impl NodeProcess for GateServer {
    fn node(&self) -> &Node {
        &self.node
    }
}

fn route(inputs: UnboundedSender<Input>, ready: Rc<Cell<bool>>, limit: usize) -> Handler {
    Rc::new(move |request: Request<ClientBody>| {
        let path = request.uri().path();
        let fixed = probe_reply(path, ready.get());
        if let Some(reply) = fixed {
            return async move { reply }.boxed_local();
        }
        let service = parse_service(path);
        match service {
            Some(service) if request.method() == Method::POST => {
                handler::serve(request, service, limit, inputs.clone()).boxed_local()
            }
            _ => async { handler::fail(Failure::not_run(FailureCode::UnknownService), None) }
                .boxed_local(),
        }
    })
}

/// Adds `connection: close` to all responses once `stopping` is set.
fn close_connections(stopping: Rc<Cell<bool>>, handler: Handler) -> Handler {
    Rc::new(move |request| {
        let stopping = stopping.clone();
        let reply = handler(request);
        async move {
            let mut reply = reply.await;
            if stopping.get() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            reply
        }
        .boxed_local()
    })
}

fn parse_service(path: &str) -> Option<ServiceName> {
    let name = path
        .strip_prefix(SERVICES_PREFIX)?
        .strip_suffix(REQUESTS_SUFFIX)?;
    ServiceName::new(name).ok()
}
