//! Metrics: exposed families match the documentation, and request paths add no label values.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use compio::io::AsyncReadExt;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use futures_util::FutureExt;
use hyper::StatusCode;
use mimosastep::gate::Failure;
use mimosastep::http::HttpError;
use mimosastep::http::HttpServer;
use mimosastep::http::Limits;
use mimosastep::http::text_reply;
use mimosastep::intake::IntakeEvent;
use mimosastep::observe::Counters;
use mimosastep::observe::Metrics;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Message;
use mimosastep::wire::Refusal;
use mimosastep::wire::RefusalCode;
use mimosastep::wire::RequestId;
use mimosastep::wire::SlotRequest;

const METRICS_PAGE: &str = include_str!("../docs/METRICS.md");

/// Serves a handler that accepts all requests but those of the service `full`.
fn serve(counters: &Arc<Counters>) -> HttpServer {
    let metrics = Metrics::open(counters, Rc::new(|| ())).expect("metrics");
    metrics.record_intake(IntakeEvent::IdleCut);
    let handler = metrics.instrument(Rc::new(|request| {
        let full = request.uri().path().contains("full");
        let refused = Failure::refused(RefusalCode::Overloaded, 10);
        async move {
            if full {
                HttpError::from(refused).into_reply()
            } else {
                text_reply(StatusCode::OK, "done")
            }
        }
        .boxed_local()
    }));
    HttpServer::bind(([127, 0, 0, 1], 0).into(), Limits::default(), handler).expect("a server")
}

async fn get(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    let text = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(text).await.0.expect("write");
    let (_, body) = stream.read_to_end(Vec::new()).await.unwrap();
    String::from_utf8(body).expect("text")
}

fn refusal() -> Message {
    Message::Refuse(Refusal {
        attempt: attempt(1),
        code: RefusalCode::NoCapacity,
        retry_after: 1,
    })
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(1),
        number,
    }
}

fn ask(number: u32) -> Message {
    Message::SlotRequest(SlotRequest {
        attempt: attempt(number),
        service: "captions".to_owned().try_into().expect("a name"),
        team: "museum".to_owned().try_into().expect("a name"),
        urgent: false,
        remaining: 1,
        waited: 0,
        avoid: Vec::new(),
    })
}

fn families(text: &str) -> BTreeSet<&str> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.filter_map(|line| line.split(' ').next()).collect()
}

/// Names in the first column of the table in METRICS.md.
fn documented() -> BTreeSet<&'static str> {
    let rows = METRICS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|line| line.split('`').next()).collect()
}

#[compio::test]
async fn page_lists_what_is_exposed() {
    let counters = Arc::default();
    let server = serve(&counters);
    counters.message_sent(&refusal(), 30);
    get(server.local_addr(), "/v1/services/captions/requests").await;
    let text = get(server.local_addr(), "/metrics").await;
    assert_eq!(families(&text), documented());
}

#[compio::test]
async fn counts_messages_requests_and_refusals() {
    let counters = Arc::default();
    let server = serve(&counters);
    counters.message_sent(&refusal(), 30);
    counters.message_sent(&ask(1), 50);
    counters.message_sent(&ask(2), 50);
    counters.message_received(&ask(1), 51);
    for path in ["captions/requests", "full/requests", "full/requests"] {
        get(server.local_addr(), &format!("/v1/services/{path}")).await;
    }
    let text = get(server.local_addr(), "/metrics").await;
    for line in [
        r#"mimosa_refusals_total{mimosa_code="no-capacity"} 1"#,
        "mimosa_retries_total 1",
        r#"mimosa_messages_total{mimosa_message_kind="ask",network_io_direction="transmit"} 2"#,
        r#"mimosa_messages_io_bytes_total{mimosa_message_kind="ask",network_io_direction="receive"} 51"#,
        r#"mimosa_requests_total{mimosa_code="none",mimosa_verdict="answered"} 1"#,
        r#"mimosa_requests_total{mimosa_code="overloaded",mimosa_verdict="not-run"} 2"#,
    ] {
        assert!(
            text.lines().any(|actual| actual == line),
            "{line} in\n{text}"
        );
    }
}

#[compio::test]
async fn paths_that_callers_choose_add_no_labels() {
    let server = serve(&Arc::default());
    for path in ["/a", "/b/c", "/v1/services/x/requests", "/v1/services/y"] {
        get(server.local_addr(), path).await;
    }
    let text = get(server.local_addr(), "/metrics").await;
    let routes: BTreeSet<_> = text
        .lines()
        .filter(|line| line.starts_with("http_server_request_duration_seconds_count"))
        .filter_map(|line| line.split("http_route=\"").nth(1)?.split('"').next())
        .collect();
    assert_eq!(
        routes,
        BTreeSet::from(["/v1/services/{service}/requests", "other"])
    );
}
