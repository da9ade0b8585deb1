//! Follows a job, a task, an executor or a host through saved logs.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use serde_json::Value;

use crate::ctl::CtlError;

/// Fields that have a place of their own in a printed line.
const FIXED: [&str; 4] = ["ts", "node", "msg", "level"];

/// A line of a log.
type Fields = BTreeMap<String, Value>;

/// The lines of the logs that concern `id`, in the order of their times.
///
/// # Errors
/// `CtlError::Usage` if a file can't be read, `CtlError::Rejected` if no line concerns it.
pub fn trace(logs: &[impl AsRef<Path>], id: &str) -> Result<Vec<String>, CtlError> {
    let mut found: Vec<(String, String)> = Vec::new();
    for path in logs {
        let path = path.as_ref();
        let unread = |err| CtlError::usage(format!("{}: {err}", path.display()));
        let file = File::open(path).map_err(unread)?;
        for line in BufReader::new(file).lines() {
            let line = line.map_err(unread)?;
            if let Some(fields) = parse(&line)
                && concerns(&fields, id)
            {
                found.push((text(&fields, "ts"), print(&fields)));
            }
        }
    }
    if found.is_empty() {
        return Err(CtlError::Rejected(format!("no line concerns {id}")));
    }
    found.sort();
    Ok(found.into_iter().map(|(_, line)| line).collect())
}

/// A log's line; what stands before its JSON is left aside.
fn parse(line: &str) -> Option<Fields> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Whether a field is `id`, or a part of it, as a task of a job.
fn concerns(fields: &Fields, id: &str) -> bool {
    fields.values().filter_map(Value::as_str).any(|value| {
        let rest = value.strip_prefix(id);
        let named = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'));
        named || value.ends_with(&format!("/{id}"))
    })
}

fn text(fields: &Fields, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn print(fields: &Fields) -> String {
    let mut line = format!(
        "{} {} {}",
        text(fields, "ts"),
        text(fields, "node"),
        text(fields, "msg")
    );
    for name in fields.keys().filter(|name| !FIXED.contains(&name.as_str())) {
        line += &format!(" {name}={}", text(fields, name));
    }
    line
}
