//! The process's log.

use std::io;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_async::OverflowStrategy;
use slog_json::Json;

use crate::name::NodeName;
use crate::record::Role;

/// A log of JSON lines on stderr, each with the node and its role.
///
/// A task of its own writes, so that logging never waits; dropping the last clone writes the rest.
pub fn open_stderr_log(node: &NodeName, role: Role) -> Logger {
    let lines = Json::default(io::stderr()).ignore_res();
    let drain = Async::new(lines).build().ignore_res();
    let role = format!("{role:?}").to_lowercase();
    Logger::root(drain, o!("node" => node.to_string(), "role" => role))
}

/// Lines that wait for the writer; beyond these, lines are dropped and counted.
const LINE_LIMIT: usize = 4_096;

/// A log of JSON lines on stdout, each with the node.
///
/// A task of its own writes, so that logging never waits: if lines come faster than they are
/// written, some are dropped and a line tells how many.
pub fn open_stdout_log(node: &NodeName) -> Logger {
    let lines = Json::default(io::stdout()).ignore_res();
    let drain = Async::new(lines)
        .chan_size(LINE_LIMIT)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .ignore_res();
    Logger::root(drain, o!("node" => node.to_string()))
}
