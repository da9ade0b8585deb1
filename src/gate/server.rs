//! A running gate process.

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
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;

use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::Gate;
use crate::gate::handler;
use crate::gate::step::Input;
use crate::gate::task::GateTask;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Limits;
use crate::name::ServiceName;
use crate::node::Node;
use crate::node::NodeError;
use crate::node::Service;
use crate::node::probe;
use crate::record::Role;
use crate::settings::GateSettings;
use crate::wire::Peer;

/// Prefix of callers' paths.
const SERVICES: &str = "/v1/services/";
/// Suffix of callers' paths.
const REQUESTS: &str = "/requests";
/// Time for the balancer to notice that the gate is not ready, in milliseconds.
const NOTICE_MS: u64 = 1_000;
/// Longest that a planned stop waits for requests in progress, in milliseconds.
const STOP_MS: u64 = 60_000;
/// Time between two looks at the requests in progress, in milliseconds.
const LOOK_MS: u64 = 20;

/// Serves callers until it is stopped.
pub struct GateServer {
    node: Node,
    http: HttpServer,
    inputs: UnboundedSender<Input>,
    pending: Rc<Cell<usize>>,
    stopping: Rc<Cell<bool>>,
}

impl GateServer {
    /// Starts a gate.
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
        let handler = close_when(stopping.clone(), handler);
        let handler = node.metrics().instrument(handler);
        let limits = Limits {
            body_bytes: settings.body_limit,
            ..Limits::default()
        };
        let http = HttpServer::bind(settings.common.http, limits, handler)?;
        node.announce();
        Ok(Self {
            node,
            http,
            inputs,
            pending,
            stopping,
        })
    }

    /// Address that callers reach.
    #[must_use]
    pub const fn http_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Stops without cutting a request: first no longer ready and each reply the last of its
    /// connection, then no new connections, then waits for the requests in progress.
    pub async fn stop(self) {
        self.stopping.set(true);
        let _ = self.inputs.unbounded_send(Input::Stop);
        compio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
        self.http.stop();
        let deadline = Instant::now() + Duration::from_millis(STOP_MS);
        while self.pending.get() > 0 && Instant::now() < deadline {
            compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        let _ = compio::time::timeout_at(deadline, self.http.stopped()).await;
        self.node.leave().await;
    }
}

impl Service for GateServer {
    fn node(&self) -> &Node {
        &self.node
    }
}

fn route(inputs: UnboundedSender<Input>, ready: Rc<Cell<bool>>, limit: usize) -> Handler {
    Rc::new(move |request: Request<Incoming>| {
        let path = request.uri().path();
        let fixed = probe(path, ready.get());
        if let Some(reply) = fixed {
            return async move { reply }.boxed_local();
        }
        let service = service(path);
        match service {
            Some(service) if request.method() == Method::POST => {
                handler::serve(request, service, limit, inputs.clone()).boxed_local()
            }
            _ => async { handler::fail(Failure::not_run(FailureCode::UnknownService), None) }
                .boxed_local(),
        }
    })
}

/// Makes replies the last of their connections from the time on that `stopping` is set.
fn close_when(stopping: Rc<Cell<bool>>, handler: Handler) -> Handler {
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

fn service(path: &str) -> Option<ServiceName> {
    let name = path.strip_prefix(SERVICES)?.strip_suffix(REQUESTS)?;
    ServiceName::new(name).ok()
}
