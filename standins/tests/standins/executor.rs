//! The backend server stand-in runs each attempt at most once, on a free slot, under its lease.

use crate::support::Client;
use crate::support::Program;
use crate::support::is_open_and_silent;

const SUMMARY: &str = "GET /runs/summary";

fn start() -> (Program, String) {
    let path = env!("CARGO_BIN_EXE_standin-executor");
    let arguments = [
        "--listen",
        "127.0.0.1:0",
        "--slots",
        "1",
        "--connections",
        "4",
    ];
    let mut program = Program::start(path, &arguments);
    let address = program.next_address();
    (program, address)
}

fn run(attempt: &str, run_ms: u64, lease_ms: u64) -> String {
    let task = format!("x-attempt-id: {attempt}\nx-request-id: r{attempt}\nx-team: t");
    format!("POST /run\n{task}\nx-run-ms: {run_ms}\nx-lease-ms: {lease_ms}")
}

fn kinds(control: &mut Client) -> Vec<String> {
    let report = control.json("GET /runs", "");
    let events = report["events"].as_array().unwrap().iter();
    let name = |event: &serde_json::Value| format!("{}", event["kind"]).replace('"', "");
    events.map(name).collect()
}

#[test]
fn an_attempt_runs_once_and_only_on_a_free_slot() {
    let (program, address) = start();
    let (mut control, mut first) = (Client::new(&address), Client::new(&address));
    let mut second = Client::new(&address);
    first.send(&run("a", 600_000, 600_000), "x").unwrap();
    control.wait_for(SUMMARY, "running", 1);
    let (status, head, _) = second.call(&run("b", 0, 600_000), "x").unwrap();
    assert_eq!((status, head.contains("x-not-run: 1")), (503, true));
    let cancelled = control.json("POST /cancel", r#"{"attempts":["a","z"]}"#);
    assert_eq!(cancelled["unknown"], serde_json::json!(["z"]));
    assert_eq!(cancelled["refused"], serde_json::json!(["z"]));
    let again = control.json("POST /cancel", r#"{"attempts":["a","z"]}"#);
    assert_eq!(again["refused"], serde_json::json!(["z"]));
    assert_eq!(first.receive().unwrap().0, 499);
    let (status, head, body) = second.call(&run("b", 0, 600_000), "x").unwrap();
    assert_eq!((status, body.as_str()), (200, "rb:x"));
    assert!(head.contains("x-request-id: rb"));
    let (status, head, _) = second.call(&run("a", 0, 600_000), "x").unwrap();
    assert_eq!((status, head.contains("x-not-run: 1")), (409, true));
    let (status, head, _) = second.call(&run("z", 0, 600_000), "x").unwrap();
    assert_eq!((status, head.contains("x-not-run: 1")), (409, true));
    assert_eq!(kinds(&mut control), ["start", "cancelled", "start", "end"]);
    assert!(program.stop());
}

#[test]
fn a_task_ends_when_its_latest_lease_does() {
    let (_program, address) = start();
    let (mut control, mut client) = (Client::new(&address), Client::new(&address));
    let lapsed = client.call(&run("a", 600_000, 10), "x").unwrap();
    assert_eq!(lapsed.0, 504);
    control.json("PUT /control", r#"{"hang":true}"#);
    client.send(&run("b", 0, 600_000), "x").unwrap();
    control.wait_for(SUMMARY, "running", 1);
    let renewed = control.json("POST /leases", r#"{"attempts":["a","b"],"lease_ms":10}"#);
    assert_eq!(renewed["unknown"], serde_json::json!(["a"]));
    assert_eq!(client.receive().unwrap().0, 504);
    assert_eq!(kinds(&mut control), ["start", "lapsed", "start", "lapsed"]);
}

#[test]
fn a_task_outlives_its_connection() {
    let (_program, address) = start();
    let (mut control, mut client) = (Client::new(&address), Client::new(&address));
    client.send(&run("a", 200, 600_000), "x").unwrap();
    control.wait_for(SUMMARY, "running", 1);
    drop(client);
    control.wait_for(SUMMARY, "ended", 1);
    assert_eq!(kinds(&mut control), ["start", "end"]);
}

#[test]
fn a_silent_connection_stays_so_while_a_new_one_works() {
    let (_program, address) = start();
    let (mut control, mut old) = (Client::new(&address), Client::new(&address));
    assert_eq!(old.call(&run("a", 0, 600_000), "x").unwrap().0, 200);
    control.json("PUT /control", r#"{"silent":true}"#);
    old.send(&run("b", 0, 600_000), "x").unwrap();
    let new = Client::new(&address).call(&run("c", 0, 600_000), "x");
    assert_eq!(new.unwrap().0, 200);
    let started = control.json("GET /runs", "")["by_request"].clone();
    assert_eq!(started, serde_json::json!({"ra": 1, "rc": 1}));
    assert!(is_open_and_silent(old.stream()));
}

#[test]
fn a_connection_above_the_limit_is_closed() {
    let (_program, address) = start();
    let mut clients: Vec<_> = (0..4).map(|_| Client::new(&address)).collect();
    clients.iter_mut().for_each(|client| {
        client.json(SUMMARY, "");
    });
    assert!(Client::new(&address).call(SUMMARY, "").is_err());
    drop(clients.pop());
    clients[0].json(SUMMARY, "");
}

#[test_case::test_case("fail_all", 500, &["start", "failed"]; "failing")]
#[test_case::test_case("refuse", 503, &[]; "refusing")]
fn a_switch_acts_on_runs_until_it_is_off(switch: &str, status: u16, seen: &[&str]) {
    let (_program, address) = start();
    let mut client = Client::new(&address);
    client.json("PUT /control", &format!("{{\"{switch}\":true}}"));
    assert_eq!(client.call(&run("a", 0, 600_000), "x").unwrap().0, status);
    assert_eq!(kinds(&mut client), seen);
    client.json("PUT /control", &format!("{{\"{switch}\":false}}"));
    assert_eq!(client.call(&run("b", 0, 600_000), "x").unwrap().0, 200);
}
