//! The log stand-in keeps offsets stable, wakes waiting reads, and injects faults.

use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::poll;
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::Value;
use serde_json::json;

use standins::log::Log;
use standins::serve::Handler;

use crate::support::Client;
use crate::support::Program;

fn request(method: &str, path: &str, body: &str) -> Request<Bytes> {
    let request = Request::builder().method(method).uri(path);
    request
        .body(Bytes::copy_from_slice(body.as_bytes()))
        .unwrap()
}

async fn call(log: &Rc<Log>, method: &str, path: &str, body: &str) -> (u16, Value) {
    let response = log.clone().handle(request(method, path, body)).await;
    let (head, body) = response.unwrap().into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    (
        head.status.as_u16(),
        serde_json::from_slice(&body).unwrap_or_default(),
    )
}

#[compio::test]
async fn offsets_stay_when_old_records_go() {
    let log = Rc::new(Log::new(2));
    for offset in 0..3 {
        let response = call(&log, "POST", "/v1/records", "x").await;
        assert_eq!(response, (200, json!({"offset": offset})));
    }
    let gone = call(&log, "GET", "/v1/records?from=0", "").await;
    assert_eq!(gone, (410, json!({"first": 1, "head": 3})));
    let (status, read) = call(&log, "GET", "/v1/records?from=1&max=1", "").await;
    assert_eq!((status, &read["records"][0]["offset"]), (200, &json!(1)));
    assert_eq!(read["records"][0]["data"], "eA==");
    call(&log, "PUT", "/control", r#"{"truncate_to":2}"#).await;
    let gone = call(&log, "GET", "/v1/records?from=1", "").await;
    assert_eq!(gone, (410, json!({"first": 2, "head": 3})));
    let ahead = call(&log, "GET", "/v1/records?from=4", "").await;
    assert_eq!(ahead, (416, json!({"first": 2, "head": 3})));
}

#[test_case::test_case("POST", "/v1/records", "x", 200; "by a record")]
#[test_case::test_case("PUT", "/control", r#"{"down":true}"#, 503; "by going down")]
#[test_case::test_case("PUT", "/control", r#"{"truncate_to":0}"#, 0; "by nothing else")]
fn a_waiting_poll_wakes(method: &str, path: &str, body: &str, status: u16) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let log = Rc::new(Log::new(2));
        let wait = request("GET", "/v1/records?from=0&wait_ms=30000", "");
        let mut wait = pin!(log.clone().handle(wait));
        assert!(poll!(wait.as_mut()).is_pending());
        call(&log, method, path, body).await;
        match poll!(wait.as_mut()) {
            std::task::Poll::Ready(response) => assert_eq!(response.unwrap().status(), status),
            std::task::Poll::Pending => assert_eq!(status, 0),
        }
    });
}

#[test]
fn a_lost_answer_took_effect() {
    let path = env!("CARGO_BIN_EXE_standin-log");
    let mut program = Program::start(path, &["--listen", "127.0.0.1:0"]);
    let address = program.next_address();
    let mut control = Client::new(&address);
    control.json("PUT /control", r#"{"lose_answers":true}"#);
    let lost = Client::new(&address).call("POST /v1/records", "x");
    assert!(lost.is_err());
    assert_eq!(control.json("GET /v1/records?from=0", "")["head"], 1);
    control.json("PUT /control", r#"{"drop_connections":true}"#);
    assert!(Client::new(&address).call("POST /v1/records", "x").is_err());
    let counters = &control.json("GET /control", "")["counters"];
    assert_eq!(counters["appends"], 1);
    assert!(program.stop());
}
