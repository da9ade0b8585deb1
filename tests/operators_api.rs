//! The operators' HTTP interface over a fake backend.

#[path = "support/fake_backend.rs"]
mod fake_backend;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use mimosastep::fleet::SubmitError;
use mimosastep::http::HttpServer;
use mimosastep::http::Limits;
use mimosastep::http::text_reply;
use mimosastep::intake::IntakeLimits;

use fake_backend::ACCEPTED;
use fake_backend::FakeBackend;
use fake_backend::KEY;
use fake_backend::serve;

const ID: &str = "0123456789abcdef0123456789abcdef";

async fn send(addr: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    stream.write_all(text.to_owned()).await.0.expect("write");
    stream
}

/// Reads until the peer closes the connection; a reset counts as closing.
async fn read_to_close(mut stream: TcpStream) -> String {
    let mut all = Vec::new();
    loop {
        let (read, buffer) = stream.read(Vec::with_capacity(4096)).await.into();
        match read {
            Ok(0) => break,
            Ok(_) => all.extend_from_slice(&buffer),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("read: {error}"),
        }
    }
    String::from_utf8(all).expect("text")
}

async fn exchange(addr: SocketAddr, text: &str) -> (u16, String, Value) {
    let reply = compio::time::timeout(Duration::from_secs(4), async {
        read_to_close(send(addr, text).await).await
    });
    let reply = reply.await.expect("reply in time");
    let (head, body) = reply.split_once("\r\n\r\n").unwrap_or((&reply, ""));
    let status = head
        .get(9..12)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    (
        status,
        head.to_lowercase(),
        serde_json::from_str(body).unwrap_or(Value::Null),
    )
}

fn get(path: &str, key: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: f\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\r\n"
    )
}

fn post(body: &str, key: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/changes HTTP/1.1\r\nhost: f\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn change(change: Value) -> String {
    json!({"id": ID, "base": 7, "change": change}).to_string()
}

fn drain() -> String {
    change(json!({"drain": "h1"}))
}

async fn exchange_once(text: &str) -> (u16, Value, Rc<FakeBackend>) {
    let (fake, server) = serve(Vec::new());
    let (status, _, body) = exchange(server.local_addr(), text).await;
    (status, body, fake)
}

#[compio::test]
async fn a_change_is_submitted_as_sent() {
    let (status, body, fake) = exchange_once(&post(&drain(), KEY)).await;
    assert_eq!(status, 200);
    assert_eq!(
        body,
        json!({"outcome": "accepted", "revision": 8, "in_force": true})
    );
    let submissions = fake.submissions.borrow();
    assert_eq!(
        (submissions[0].id.to_string().as_str(), submissions[0].base),
        (ID, Some(7))
    );
}

#[test_case(SubmitError::Rejected("late".into()), 409, "rejected", "not-run", false)]
#[test_case(SubmitError::NotAppended("down".into()), 503, "log-unavailable", "not-run", true)]
#[test_case(SubmitError::Unknown, 504, "outcome-unknown", "unknown", true)]
fn outcomes_have_their_status(
    error: SubmitError,
    expected: u16,
    code: &str,
    verdict: &str,
    retry: bool,
) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let (_fake, server) = serve(vec![Err(error)]);
            let (status, head, body) = exchange(server.local_addr(), &post(&drain(), KEY)).await;
            assert_eq!(status, expected);
            assert_eq!(body["error"]["code"], code);
            assert_eq!(body["error"]["verdict"], verdict);
            assert_eq!(head.contains("retry-after: 1"), retry);
        });
}

#[test_case(&get("/v1/state", "wrong"), 401, "unauthorized")]
#[test_case(
    "GET /v1/state HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n",
    401,
    "unauthorized"
)]
#[test_case(&post(&drain(), ""), 401, "unauthorized")]
#[test_case(&post("{", KEY), 400, "bad-change")]
#[test_case(&post(&drain().replace(ID, "12"), KEY), 400, "bad-change")]
#[test_case(&post(&drain().replace(ID, "+123456789abcdef0123456789abcdef"), KEY), 400, "bad-change")]
#[test_case(&post(&change(json!({"snapshot": [1]})), KEY), 400, "bad-change")]
#[test_case(&post(&change(json!({"end": {"node": "n", "incarnation": 1}})), KEY), 400, "bad-change")]
#[test_case(&get("/v1/changes", KEY), 405, "bad-method")]
#[test_case(&get("/nowhere", KEY), 404, "no-such-path")]
#[test_case(&post("", KEY).replace("content-length: 0", "content-length: 99999999"), 413, "too-large")]
fn refused_requests_never_reach_the_backend(text: &str, expected: u16, code: &str) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let (status, body, fake) = exchange_once(text).await;
            assert_eq!((status, &body["error"]["code"]), (expected, &json!(code)));
            assert!(fake.submissions.borrow().is_empty());
        });
}

#[compio::test]
async fn a_chunked_body_beyond_the_limit_is_refused() {
    let head = post("", KEY).replace("content-length: 0", "transfer-encoding: chunked");
    let chunk = format!("100000\r\n{}\r\n", " ".repeat(0x10_0000));
    // Eight chunks reach the limit exactly; the ninth exceeds it by one byte.
    let text = format!("{head}{}1\r\n \r\n", chunk.repeat(8));
    let (status, body, fake) = exchange_once(&text).await;
    assert_eq!((status, &body["error"]["code"]), (413, &json!("too-large")));
    assert!(fake.submissions.borrow().is_empty());
}

#[compio::test]
async fn state_and_probes_are_served() {
    let (fake, server) = serve(Vec::new());
    let addr = server.local_addr();
    fake.view.borrow_mut().revision = 7;
    let (status, _, body) = exchange(addr, &get("/v1/state", KEY)).await;
    assert_eq!((status, &body["revision"]), (200, &json!(7)));
    assert_eq!(exchange(addr, &get("/healthz", "")).await.0, 200);
    assert_eq!(exchange(addr, &get("/readyz", "")).await.0, 503);
    fake.ready.set(true);
    assert_eq!(exchange(addr, &get("/readyz", "")).await.0, 200);
}

#[compio::test]
async fn a_graceful_stop_finishes_the_request_in_progress() {
    let (fake, server) = serve(Vec::new());
    let addr = server.local_addr();
    let (release, hold) = oneshot::channel();
    fake.hold.replace(Some(hold));
    let keep_alive = post(&drain(), KEY).replace("connection: close\r\n", "");
    let busy = send(addr, &keep_alive).await;
    let idle = send(addr, "").await;
    while fake.submissions.borrow().is_empty() {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
    server.stop();
    compio::time::sleep(Duration::from_millis(20)).await;
    assert!(
        TcpStream::connect(addr).await.is_err(),
        "accepts after the stop"
    );
    let early = compio::time::timeout(Duration::from_millis(20), server.stopped()).await;
    assert!(early.is_err(), "stopped before the request was answered");
    release.send(()).expect("the answer is still delayed");
    assert!(
        read_to_close(busy)
            .await
            .contains(&format!("\"revision\":{}", ACCEPTED.revision))
    );
    assert_eq!(read_to_close(idle).await, "");
    let stopped = compio::time::timeout(Duration::from_secs(4), server.stopped()).await;
    stopped.expect("stopped");
}

#[compio::test]
async fn connections_and_headers_beyond_the_limits_are_refused() {
    let limits = Limits {
        header_bytes: 256,
        body_bytes: 0,
        intake: IntakeLimits {
            connections: 1,
            ..IntakeLimits::default()
        },
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let (release, held) = oneshot::channel::<()>();
    let held = held.shared();
    let (begun, begin) = futures_channel::mpsc::unbounded();
    let handler = Rc::new(move |_| {
        let _ = begun.unbounded_send(());
        let held = held.clone();
        let reply: futures_util::future::LocalBoxFuture<'static, _> = Box::pin(async move {
            let _ = held.await;
            text_reply(hyper::StatusCode::OK, "ok")
        });
        reply
    });
    let server = HttpServer::bind(addr, limits, handler).expect("bind");
    let incomplete = send(server.local_addr(), "GET / HTTP/1.1\r\nhost: f\r\n").await;
    let first = send(server.local_addr(), &get("/", "")).await;
    assert_eq!(read_to_close(incomplete).await, "", "makes room");
    begin.into_future().await.0.expect("the first request");
    let second = send(server.local_addr(), "").await;
    assert_eq!(read_to_close(second).await, "", "refused");
    release.send(()).expect("the answer is still delayed");
    assert!(read_to_close(first).await.starts_with("HTTP/1.1 200"));
    let long = get("/", &"x".repeat(300));
    assert_eq!(exchange(server.local_addr(), &long).await.0, 431);
}
