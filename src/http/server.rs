//! The HTTP/1.1 server behind every listener.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::HyperStream;
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
use crate::http::HttpError;
use crate::http::Limits;
use crate::http::Reply;
use crate::http::activity::Activity;
use crate::http::monitored_stream::MonitoredStream;

/// Time between two looks at what a connection does.
const LOOK: Duration = Duration::from_secs(1);
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers one request.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> LocalBoxFuture<'static, Reply>>;

/// Resolves once its sender is dropped.
type Signal = Shared<oneshot::Receiver<()>>;

/// Held by the accept loop and by each connection; the last one dropped means stopped.
type Held = Rc<oneshot::Sender<()>>;

/// A running listener; dropping it stops it gracefully.
pub struct HttpServer {
    addr: SocketAddr,
    quit: RefCell<Option<oneshot::Sender<()>>>,
    ended: Signal,
}

struct Acceptor {
    listener: TcpListener,
    limits: Limits,
    handler: Handler,
    quit: Signal,
    held: Held,
}

impl HttpServer {
    /// Listens on `addr` and answers requests by `handler`. Needs a compio runtime.
    ///
    /// # Errors
    /// The system's error if `addr` can't be listened on.
    pub fn bind(addr: SocketAddr, limits: Limits, handler: Handler) -> Result<Self, io::Error> {
        let listener = StdListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (quit_sender, quit) = oneshot::channel();
        let (held, ended) = oneshot::channel();
        let acceptor = Acceptor {
            listener,
            limits,
            handler,
            quit: quit.shared(),
            held: Rc::new(held),
        };
        compio::runtime::spawn(acceptor.run()).detach();
        Ok(Self {
            addr,
            quit: RefCell::new(Some(quit_sender)),
            ended: ended.shared(),
        })
    }

    /// Address that it listens on.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting; requests in progress are finished and answered.
    pub fn stop(&self) {
        self.quit.take();
    }

    /// Waits until the last connection has ended after [`Self::stop`].
    pub async fn stopped(&self) {
        let _ = self.ended.clone().await;
    }
}

impl Acceptor {
    async fn run(self) {
        let quit = self.quit.clone();
        let _ = select(pin!(self.accept_all()), quit).await;
    }

    async fn accept_all(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(_) => compio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let connections = Rc::strong_count(&self.held) - 1;
        if connections >= self.limits.connections || stream.set_nodelay(true).is_err() {
            return;
        }
        let handler = Rc::clone(&self.handler);
        let serve = serve(
            stream,
            self.limits,
            handler,
            self.quit.clone(),
            Rc::clone(&self.held),
        );
        compio::runtime::spawn(serve).detach();
    }
}

async fn serve(stream: TcpStream, limits: Limits, handler: Handler, quit: Signal, held: Held) {
    let activity = Rc::new(Activity::begin(Instant::now()));
    let service = service_fn(|request| {
        activity.note_request();
        let reply = answer(request, limits.body_bytes, Rc::clone(&handler));
        async {
            let reply = reply.await;
            activity.note_answered(Instant::now());
            reply
        }
    });
    let stream = MonitoredStream::new(HyperStream::new_plain(stream), Rc::clone(&activity));
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_header_size(limits.header_bytes);
    let mut connection = pin!(builder.serve_connection(stream, service));
    let talk = async {
        if let Either::Right(_) = select(connection.as_mut(), quit).await {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    };
    let _ = select(pin!(talk), pin!(watch(&activity))).await;
    drop(held);
}

/// Ends once a connection has done nothing for too long.
async fn watch(activity: &Activity) {
    loop {
        let now = Instant::now();
        match activity.deadline() {
            Some(until) if until <= now => return,
            Some(until) => compio::time::sleep_until(until.min(now + LOOK)).await,
            None => compio::time::sleep(LOOK).await,
        }
    }
}

async fn answer(
    request: Request<Incoming>,
    limit: usize,
    handler: Handler,
) -> Result<Reply, Infallible> {
    if request.body().size_hint().lower() > limit as u64 {
        return Ok(HttpError::from(BodyError::TooLarge(limit)).into_reply());
    }
    Ok(handler(request).await)
}
