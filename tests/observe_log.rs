//! Log lines are written in batches, in order, and are lost only when the output is stuck.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use mimosastep::name::NodeName;
use mimosastep::observe::open_batched_log;
use serde_json::Value;
use slog::Logger;
use slog::info;

/// Number of lines of a burst.
const BURST: u64 = 2_000;
/// Number of lines that are more than what may wait.
const FLOOD: u64 = 20_000;

/// An output that counts the writes. It is stuck while the test holds its lock.
#[derive(Clone, Default)]
struct Output {
    written: Arc<Mutex<(Vec<u8>, usize)>>,
}

impl Output {
    fn lock(&self) -> MutexGuard<'_, (Vec<u8>, usize)> {
        self.written.lock().expect("no panic in the writer")
    }

    fn lines(&self) -> Vec<Value> {
        let written = self.lock();
        let lines = written.0.split(|byte| *byte == b'\n');
        let lines = lines.filter(|line| !line.is_empty());
        lines
            .map(|line| serde_json::from_slice(line).expect("a JSON line"))
            .collect()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.lock();
        written.0.extend_from_slice(bytes);
        written.1 += 1;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open(output: &Output) -> Logger {
    let node = NodeName::new("n-1").expect("a name");
    open_batched_log(&node, output.clone()).expect("a thread")
}

fn log_numbers(log: &Logger, count: u64) {
    for number in 0..count {
        info!(log, "run ended"; "number" => number, "how" => ?Some("done"));
    }
}

/// Guards against writes of each line by itself, which cost the owner processor time.
#[test]
fn each_line_was_written_by_itself() {
    let output = Output::default();
    let log = open(&output);
    log_numbers(&log, BURST);
    drop(log);
    let lines = output.lines();
    let numbers = lines.iter().filter_map(|line| line["number"].as_u64());
    assert!(numbers.eq(0..BURST));
    for line in &lines {
        assert_eq!(line["node"], "n-1");
        assert_eq!(line["level"], "INFO");
        assert_eq!(line["msg"], "run ended");
        assert_eq!(line["how"], "Some(\"done\")");
        assert!(line["ts"].as_str().is_some_and(|time| time.ends_with('Z')));
    }
    let writes = output.lock().1;
    assert!(writes < BURST as usize / 10, "{writes} writes");
}

/// Guards against a stuck output that blocks the process or hides how many lines it cost.
#[test]
fn lines_dropped_at_a_stuck_output_were_not_counted() {
    let output = Output::default();
    let log = open(&output);
    let stuck = output.lock();
    log_numbers(&log, FLOOD);
    drop(stuck);
    drop(log);
    let lines = output.lines();
    let written = lines
        .iter()
        .filter(|line| line["msg"] == "run ended")
        .count() as u64;
    let reports = lines
        .iter()
        .filter(|line| line["msg"] == "log lines dropped");
    let dropped: u64 = reports.filter_map(|line| line["count"].as_u64()).sum();
    assert!(dropped > 0);
    assert_eq!(written + dropped, FLOOD);
}
