//! The load generator counts each outcome once, and fails on a response to another request.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::thread;

use serde_json::Value;

use crate::support::Program;

const PRODUCT_ARGUMENTS: [&str; 5] = ["--path", "/v1/services/s/requests", "--key", "k", "--retry"];

fn load(target: &str, arguments: &[&str]) -> (bool, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin-load"));
    command.args(["--json", "--requests", "40", "--run-ms", "5"]);
    command.args(["--target", target]).args(arguments);
    let output = command.output().unwrap();
    let report = serde_json::from_slice(&output.stdout).unwrap();
    (output.status.success(), report)
}

#[test]
fn each_request_is_counted_and_timed_once() {
    let path = env!("CARGO_BIN_EXE_standin-executor");
    let mut program = Program::start(path, &["--listen", "127.0.0.1:0"]);
    let (success, report) = load(&program.next_address(), &["--direct", "--callers", "4"]);
    assert!(success);
    assert_eq!(report["answered"], 40);
    let [p50_ms, max_ms] = ["p50_ms", "max_ms"].map(|name| report[name].as_f64().unwrap());
    let seconds = report["seconds"].as_f64().unwrap();
    assert!(5.0 <= p50_ms && p50_ms <= max_ms && max_ms <= seconds * 1e3);
}

#[test]
fn a_wrong_answer_fails_the_load() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\nx";
            let mut seen = [0; 1024];
            assert!(stream.read(&mut seen).unwrap() > 0);
            stream.write_all(response).unwrap();
        }
    });
    let (success, report) = load(&address, &["--direct"]);
    assert!(!success);
    assert_eq!(report["wrong"], 40);
}

/// Refuses the first attempt of each request and echoes the id and body of the second.
fn refuse_first_attempts(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    for count in 0..80 {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_until(b'\n', &mut head).unwrap();
        }
        let head = String::from_utf8(head).unwrap();
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        assert!(head.starts_with("POST /v1/services/s/requests HTTP/1.1\r\n"));
        assert_eq!(header("authorization: "), Some("Bearer k"));
        assert_eq!(header("x-idempotent: "), Some("false"));
        assert_eq!(header("x-run-ms: "), Some("5"));
        assert!(header("x-deadline-ms: ").unwrap().parse::<u64>().unwrap() <= 10_000);
        let mut body = [0; 64];
        stream.read_exact(&mut body).unwrap();
        let body = String::from_utf8_lossy(&body);
        let content = format!("{}:{body}", header("x-request-id: ").unwrap());
        let (status, content) = match count % 2 {
            0 => (
                "503 x\r\nretry-after: 0",
                r#"{"error":{"verdict":"not-run"}}"#,
            ),
            _ => ("200 x", content.as_str()),
        };
        let length = content.len();
        let response = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{content}");
        stream.get_mut().write_all(response.as_bytes()).unwrap();
    }
}

#[test]
fn a_request_that_was_not_run_is_sent_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let target = thread::spawn(move || refuse_first_attempts(listener.accept().unwrap().0));
    let (success, report) = load(&address, &PRODUCT_ARGUMENTS);
    target.join().unwrap();
    assert!(success);
    assert_eq!(
        (&report["answered"], &report["retries"]),
        (&40.into(), &40.into())
    );
}
