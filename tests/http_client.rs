//! Tests of the connections that an HTTP client keeps.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use http_body_util::Full;
use hyper::Request;
use mimosastep::http::Client;

/// Limit of the time that a test waits, in seconds.
const WAIT_S: u64 = 20;

/// A server that answers each request and counts its open connections.
async fn serve() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let open = Rc::new(Cell::new(0));
    let counted = Rc::clone(&open);
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.set(counted.get() + 1);
            let counted = Rc::clone(&counted);
            compio::runtime::spawn(async move {
                answer_all(stream).await;
                counted.set(counted.get() - 1);
            })
            .detach();
        }
    })
    .detach();
    (addr, open)
}

/// Answers requests, which fit into one read each, until the client closes the connection.
async fn answer_all(mut stream: TcpStream) {
    loop {
        let read = stream.read(Vec::with_capacity(4_096)).await;
        if !read.0.is_ok_and(|count| count > 0) {
            return;
        }
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        if stream.write_all(answer).await.0.is_err() {
            return;
        }
    }
}

async fn call(client: &Client, addr: SocketAddr) {
    let request = Request::builder().uri("/").header("host", "site.example");
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let deadline = Instant::now() + Duration::from_secs(WAIT_S);
    client
        .send(addr, request, deadline)
        .await
        .expect("an answer");
}

/// Guards against more descriptors than the machine has, where there are very many servers.
#[compio::test]
async fn no_more_idle_connections_are_kept_than_allowed() {
    let client = Client::new().with_idle_limit(3);
    let mut counts = Vec::new();
    for _ in 0..8 {
        let (addr, open) = serve().await;
        call(&client, addr).await;
        call(&client, addr).await;
        counts.push(open);
    }
    wait_until("the others to be closed", async || {
        counts.iter().map(|open| open.get()).sum::<usize>() <= 3
    })
    .await;
}

async fn wait_until(what: &str, done: impl AsyncFn() -> bool) {
    let until = Instant::now() + Duration::from_secs(WAIT_S);
    while !done().await {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against descriptors that are never given back: of servers that are not called again, for
/// instance since their hosts have moved.
#[compio::test]
async fn connections_to_servers_that_are_called_no_more_are_closed() {
    let client = Client::new();
    let (left, open) = serve().await;
    let (called, _) = serve().await;
    call(&client, left).await;
    assert_eq!(open.get(), 1);
    wait_until("the connection to be closed", async || {
        call(&client, called).await;
        open.get() == 0
    })
    .await;
}
