//! Structured logs of a process.

use std::io;
use std::io::Write;
use std::sync::Mutex;

use serde_json::json;
use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_json::Json;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::name::NodeName;
use crate::observe::batch_writer::BatchWriter;
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

/// Logger that writes JSON lines to stdout, each with the node name.
///
/// A background thread writes, so logging does not block: if lines arrive faster than they are
/// written, some are dropped and a later line reports how many.
///
/// # Errors
/// The error of the operating system if the thread can't be started.
pub fn open_stdout_log(node: &NodeName) -> io::Result<Logger> {
    open_batched_log(node, io::stdout())
}

/// Like [`open_stdout_log`], with another output.
///
/// # Errors
/// The error of the operating system if the thread can't be started.
pub fn open_batched_log(
    node: &NodeName,
    output: impl Write + Send + 'static,
) -> io::Result<Logger> {
    let name = node.to_string();
    let writer = BatchWriter::spawn(output, move |dropped| dropped_line(&name, dropped))?;
    let json = Json::new(writer).add_default_keys().set_flush(true).build();
    let drain = Mutex::new(json).ignore_res();
    Ok(Logger::root(drain, o!("node" => node.to_string())))
}

/// The line that tells how many lines were dropped.
fn dropped_line(node: &str, dropped: u64) -> String {
    // A time without a text form is left out.
    let time = OffsetDateTime::now_utc().format(&Rfc3339).ok();
    let line = json!({
        "ts": time, "level": "ERRO", "msg": "log lines dropped", "node": node, "count": dropped,
    });
    format!("{line}\n")
}
