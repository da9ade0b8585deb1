//! Traces a job, task, executor or host through saved logs.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use serde_json::Value;

use crate::ctl::CtlError;

/// Fields that are not printed as `name=value`: the first three lead the line, `level` is omitted.
const LEADING_FIELDS: [&str; 4] = ["ts", "node", "msg", "level"];

/// Fields of a log line.
type Fields = BTreeMap<String, Value>;

/// Returns the log lines that mention `id`, formatted and sorted by time.
///
/// # Errors
/// `CtlError::Usage` if a file cannot be read, `CtlError::Rejected` if no line mentions `id`.
pub fn trace(logs: &[impl AsRef<Path>], id: &str) -> Result<Vec<String>, CtlError> {
    let mut matches: Vec<(String, String)> = Vec::new();
    for path in logs {
        let path = path.as_ref();
        let read_error = |err| CtlError::usage(format!("{}: {err}", path.display()));
        let file = File::open(path).map_err(read_error)?;
        for line in BufReader::new(file).lines() {
            let line = line.map_err(read_error)?;
            if let Some(fields) = parse_line(&line)
                && has_id(&fields, id)
            {
                matches.push((field_text(&fields, "ts"), format_line(&fields)));
            }
        }
    }
    if matches.is_empty() {
        return Err(CtlError::Rejected(format!("no line concerns {id}")));
    }
    matches.sort();
    Ok(matches.into_iter().map(|(_, line)| line).collect())
}

/// Parses the JSON of a log line, without any prefix that the log collector added; `None` if there
/// is none.
fn parse_line(line: &str) -> Option<Fields> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Whether a field equals `id`, begins with `id.` (as a task id does with its job id), or ends with
/// `/id`.
fn has_id(fields: &Fields, id: &str) -> bool {
    fields.values().filter_map(Value::as_str).any(|value| {
        let suffix = value.strip_prefix(id);
        let named = suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('.'));
        named || value.ends_with(&format!("/{id}"))
    })
}

fn field_text(fields: &Fields, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn format_line(fields: &Fields) -> String {
    let mut line = format!(
        "{} {} {}",
        field_text(fields, "ts"),
        field_text(fields, "node"),
        field_text(fields, "msg")
    );
    for name in fields
        .keys()
        .filter(|name| !LEADING_FIELDS.contains(&name.as_str()))
    {
        line += &format!(" {name}={}", field_text(fields, name));
    }
    line
}
