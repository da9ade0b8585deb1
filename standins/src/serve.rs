//! The HTTP server and the main loop that the stand-in programs share.

use std::convert::identity;
use std::future::Future;
use std::future::pending;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures_util::future::Either;
use futures_util::future::select;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::connections::Connection;
use crate::connections::ConnectionFault;
use crate::connections::Connections;

const SIGTERM: i32 = 15;

/// A response with a complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Handles the requests of one server.
pub trait Handler: 'static {
    /// Whether a path belongs to the control interface, which injected faults spare.
    fn is_control(path: &str) -> bool;

    /// The server's open connections.
    fn connections(&self) -> &Connections;

    /// Handles one request.
    ///
    /// # Errors
    /// Any error closes the connection without a response.
    fn handle(
        self: Rc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = io::Result<HttpResponse>>;
}

/// Runs a program until SIGTERM, or until `program` ends.
///
/// # Errors
/// The error of `program`, or a failure to start the runtime or to wait for the signal.
pub fn run_until_sigterm(program: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    Runtime::new()?.block_on(async {
        let stop = pin!(compio::signal::unix::signal(SIGTERM));
        match select(stop, pin!(program)).await {
            Either::Left((stopped, _)) => stopped.map(drop),
            Either::Right((ended, _)) => ended,
        }
    })
}

/// Binds a listener and prints its address on standard output.
///
/// # Errors
/// The address cannot be bound, or standard output is closed.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    print_address(listener.local_addr()?)?;
    Ok(listener)
}

/// Prints `listening ADDRESS` on standard output, from which a parent process reads the port.
///
/// # Errors
/// Standard output is closed.
pub fn print_address(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening {address}")?;
    out.flush()
}

/// Serves `handler` on `listener`; connections above the handler's limit are closed.
///
/// # Errors
/// The listener can no longer accept connections.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true).ok();
        if let Some((connection, fault)) = handler.connections().open() {
            let handler = handler.clone();
            compio::runtime::spawn(async move {
                let serving = pin!(serve_connection(
                    stream,
                    handler.clone(),
                    connection.clone()
                ));
                if let Either::Left((Ok(ConnectionFault::Silent), _serving)) =
                    select(fault, serving).await
                {
                    pending::<()>().await;
                }
                handler.connections().close(&connection);
            })
            .detach();
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    connection: Rc<Connection>,
) {
    let service = service_fn(|request| {
        connection.set_control(H::is_control(request.uri().path()));
        handle_request(handler.clone(), request)
    });
    http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(None)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await
        .ok();
}

async fn handle_request<H: Handler>(
    handler: Rc<H>,
    request: Request<Incoming>,
) -> io::Result<HttpResponse> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    handler.handle(Request::from_parts(head, body)).await
}

/// Returns a response with `body` as it is.
pub fn plain(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body; status 500 if `body` cannot be serialized.
pub fn json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    serde_json::to_vec(body).map_or_else(
        |error| plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        |body| plain(status, body),
    )
}

/// Parses a JSON body and passes it to `respond`; status 400 if it cannot be parsed.
pub fn with_json<T: DeserializeOwned>(
    body: &[u8],
    respond: impl FnOnce(T) -> HttpResponse,
) -> HttpResponse {
    serde_json::from_slice(body)
        .map(respond)
        .map_err(|error| plain(StatusCode::BAD_REQUEST, error.to_string()))
        .unwrap_or_else(identity)
}

/// Returns the switches in `current`, overridden by those in `body`.
///
/// # Errors
/// `body` is not a JSON object, or has an unknown switch or one of the wrong type.
pub fn merge_switches<T: Serialize + DeserializeOwned>(
    current: &T,
    body: &[u8],
) -> serde_json::Result<T> {
    let mut switches = serde_json::to_value(current)?;
    let given: serde_json::Map<String, Value> = serde_json::from_slice(body)?;
    if let Value::Object(switches) = &mut switches {
        switches.extend(given);
    }
    serde_json::from_value(switches)
}
