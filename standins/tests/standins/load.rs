//! The load client counts what came, and fails on a wrong answer.

use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

use serde_json::Value;

use crate::support::Program;

fn load(target: &str, callers: &str) -> (bool, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin-load"));
    command.args(["--direct", "--json", "--requests", "40", "--run-ms", "0"]);
    command.args(["--callers", callers, "--target", target]);
    let output = command.output().unwrap();
    let report = serde_json::from_slice(&output.stdout).unwrap();
    (output.status.success(), report)
}

#[test]
fn each_request_is_counted_once() {
    let path = env!("CARGO_BIN_EXE_standin-executor");
    let mut program = Program::start(path, &["--listen", "127.0.0.1:0"]);
    let (success, report) = load(&program.address(), "4");
    assert!(success);
    assert_eq!(report["answered"], 40);
}

#[test]
fn a_wrong_answer_fails_the_load() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\nx";
            let mut seen = [0; 1024];
            std::io::Read::read(&mut stream, &mut seen).unwrap();
            stream.write_all(answer).unwrap();
        }
    });
    let (success, report) = load(&address, "1");
    assert!(!success);
    assert_eq!(report["wrong"], 40);
}
