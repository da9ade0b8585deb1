//! HTTP/1.1 server.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpListener;
use compio::net::TcpStream;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::Shared;
use futures_util::future::select;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::http::BodyError;
use crate::http::ClientBody;
use crate::http::HttpError;
use crate::http::Limits;
use crate::http::Reply;
use crate::http::buffered_stream::BufferedStream;
use crate::http::buffered_stream::SMALL_BUFFER_BYTES;
use crate::http::connection_timer::ConnectionTimer;
use crate::http::monitored_stream::MonitoredStream;
use crate::http::pacer::Pacer;
use crate::http::socket_buffers::bound_buffers;
use crate::intake::IntakeEvent;
use crate::intake::Intakes;
use crate::intake::Permit;

/// Maximum time between two checks of the deadline of a connection.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed accept, to avoid a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Handles one request.
pub type Handler = Rc<dyn Fn(Request<ClientBody>) -> LocalBoxFuture<'static, Reply>>;

/// Resolves when its sender is dropped.
type DropSignal = Shared<oneshot::Receiver<()>>;

/// Held by the accept loop and by each connection; the server has stopped once all are dropped.
type ActiveToken = Rc<oneshot::Sender<()>>;

/// A running HTTP server; dropping it begins a graceful shutdown.
pub struct HttpServer {
    addr: SocketAddr,
    shutdown: RefCell<Option<oneshot::Sender<()>>>,
    stopped_signal: DropSignal,
}

struct Acceptor {
    listener: TcpListener,
    limits: Limits,
    intakes: Intakes,
    handler: Handler,
    pacer: Rc<Pacer>,
    shutdown: DropSignal,
    token: ActiveToken,
}

impl HttpServer {
    /// Listens on `addr` and passes requests to `handler`. Must be called in a compio runtime.
    ///
    /// # Errors
    /// The error of the operating system if `addr` cannot be bound.
    pub fn bind(addr: SocketAddr, limits: Limits, handler: Handler) -> Result<Self, io::Error> {
        Self::bind_observed(addr, limits, handler, Rc::new(|_| ()))
    }

    /// Does the same as [`Self::bind`], and reports to `observer` what is done to connections for
    /// lack of memory or connections.
    ///
    /// # Errors
    /// The error of the operating system if `addr` cannot be bound.
    pub fn bind_observed(
        addr: SocketAddr,
        limits: Limits,
        handler: Handler,
        observer: Rc<dyn Fn(IntakeEvent)>,
    ) -> Result<Self, io::Error> {
        let listener = StdListener::bind(addr)?;
        bound_buffers(&listener);
        let addr = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (shutdown_sender, shutdown) = oneshot::channel();
        let (token, stopped_signal) = oneshot::channel();
        let acceptor = Acceptor {
            listener,
            limits,
            intakes: Intakes::new(limits.intake, observer),
            handler,
            pacer: Rc::default(),
            shutdown: shutdown.shared(),
            token: Rc::new(token),
        };
        compio::runtime::spawn(acceptor.run()).detach();
        Ok(Self {
            addr,
            shutdown: RefCell::new(Some(shutdown_sender)),
            stopped_signal: stopped_signal.shared(),
        })
    }

    /// The bound address, with the port that the system chose if 0 was requested.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections; requests in progress are completed.
    pub fn stop(&self) {
        self.shutdown.take();
    }

    /// Waits until the last connection has ended, after [`Self::stop`].
    pub async fn stopped(&self) {
        let _ = self.stopped_signal.clone().await;
    }
}

impl Acceptor {
    async fn run(self) {
        let shutdown = self.shutdown.clone();
        let _ = select(pin!(self.accept_all()), shutdown).await;
    }

    async fn accept_all(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, client)) => {
                    self.spawn_connection(stream, client.ip());
                    self.intakes.settled().await;
                }
                Err(_) => compio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream, client: IpAddr) {
        let Some(permit) = self.intakes.admit(client, Instant::now()) else {
            return;
        };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let handler = Rc::clone(&self.handler);
        let serve = serve(
            stream,
            permit,
            self.limits,
            handler,
            Rc::clone(&self.pacer),
            self.shutdown.clone(),
            Rc::clone(&self.token),
        );
        compio::runtime::spawn(serve).detach();
    }
}

async fn serve(
    stream: TcpStream,
    permit: Permit,
    limits: Limits,
    handler: Handler,
    pacer: Rc<Pacer>,
    shutdown: DropSignal,
    token: ActiveToken,
) {
    let timer = Rc::new(ConnectionTimer::start(Instant::now(), permit));
    let service = service_fn(|request: Request<Incoming>| {
        timer.record_request();
        let body = |body| ClientBody::new(body, Rc::clone(&timer), Rc::clone(&pacer));
        let request = request.map(body);
        let reply = handle(request, limits.body_bytes, Rc::clone(&handler));
        let pacer = Rc::clone(&pacer);
        let timer = &timer;
        async move {
            pacer.step().await;
            let reply = reply.await;
            timer.record_reply(Instant::now());
            reply
        }
    });
    let stream = BufferedStream::new(stream, SMALL_BUFFER_BYTES);
    let stream = MonitoredStream::new(stream, Rc::clone(&timer));
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_header_size(limits.header_bytes)
        .max_buf_size(limits.header_bytes + SMALL_BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(stream, service));
    let serving = async {
        if let Either::Right(_) = select(connection.as_mut(), shutdown).await {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    };
    let ended = async {
        select(pin!(wait_for_timeout(&timer)), pin!(timer.cut())).await;
    };
    let _ = select(pin!(serving), pin!(ended)).await;
    drop(token);
}

/// Returns when a deadline of the connection has passed.
async fn wait_for_timeout(timer: &ConnectionTimer) {
    loop {
        let now = Instant::now();
        match timer.deadline() {
            Some(until) if until <= now => return,
            Some(until) => compio::time::sleep_until(until.min(now + CHECK_INTERVAL)).await,
            None => compio::time::sleep(CHECK_INTERVAL).await,
        }
    }
}

async fn handle(
    request: Request<ClientBody>,
    limit: usize,
    handler: Handler,
) -> Result<Reply, Infallible> {
    if request.body().size_hint().lower() > limit as u64 {
        return Ok(HttpError::from(BodyError::TooLarge(limit)).into_reply());
    }
    Ok(handler(request).await)
}
