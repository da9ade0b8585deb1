//! Structured logs of a process.

use std::io;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_async::OverflowStrategy;
use slog_json::Json;

use crate::name::NodeName;
use crate::record::Role;

/// Logger that writes JSON lines to stderr, each with the node name and its role.
///
/// A background thread writes, so logging does not block; dropping the last clone flushes the
/// pending lines.
pub fn open_stderr_log(node: &NodeName, role: Role) -> Logger {
    let writer = Json::default(io::stderr()).ignore_res();
    let drain = Async::new(writer).build().ignore_res();
    let role = format!("{role:?}").to_lowercase();
    Logger::root(drain, o!("node" => node.to_string(), "role" => role))
}

/// Capacity of the queue to the writer, in lines; when it is full, lines are dropped and counted.
const LINE_LIMIT: usize = 4_096;

/// Logger that writes JSON lines to stdout, each with the node name.
///
/// A background thread writes, so logging does not block: if lines arrive faster than they are
/// written, some are dropped and a later line reports how many.
pub fn open_stdout_log(node: &NodeName) -> Logger {
    let writer = Json::default(io::stdout()).ignore_res();
    let drain = Async::new(writer)
        .chan_size(LINE_LIMIT)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .ignore_res();
    Logger::root(drain, o!("node" => node.to_string()))
}
