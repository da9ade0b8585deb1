//! Formats events as lines of text.

use std::fmt::Display;

use time::OffsetDateTime;
use time::macros::format_description;

use crate::ctl::event_filter::MergedEvent;
use crate::observe::NoteKind;
use crate::observe::Timeline;

/// Formats one line for each event, then a `#` line for each gap in the timeline.
#[must_use]
pub fn format_events(timeline: &Timeline, events: &[MergedEvent<'_>]) -> String {
    let mut text: String = events.iter().map(format_event).collect();
    for (node, count) in &timeline.dropped {
        text += &format!("# {node} no longer has {count} older notes\n");
    }
    for node in &timeline.missing {
        text += &format!("# {node} gave no answer\n");
    }
    text
}

/// Formats Unix milliseconds as an RFC 3339 time in UTC; times out of range stay a number.
#[must_use]
pub fn format_time(millis: u64) -> String {
    let format =
        format_description!("[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z");
    let nanos = i128::from(millis) * 1_000_000;
    OffsetDateTime::from_unix_timestamp_nanos(nanos)
        .ok()
        .and_then(|at| at.format(&format).ok())
        .unwrap_or_else(|| millis.to_string())
}

/// Serialized name of a kind.
#[must_use]
pub fn kind_name(kind: NoteKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Formats the subjects of an event as ` name=value` pairs.
#[must_use]
pub fn format_subjects(merged: &MergedEvent<'_>) -> String {
    let note = &merged.event.note;
    [
        format_field("request", note.request.as_ref()),
        format_field("team", note.team.as_ref()),
        format_field("service", note.service.as_ref()),
        format_field("host", note.host.as_ref()),
        format_field("dc", note.dc.as_ref()),
        format_field("node", note.node.as_ref()),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn format_event(merged: &MergedEvent<'_>) -> String {
    let event = merged.event;
    let process_count = match merged.processes {
        1 => String::new(),
        count => format!(" ({count} processes)"),
    };
    format!(
        "{} {}{process_count} {}{}: {}\n",
        format_time(event.at),
        event.by,
        kind_name(event.note.kind),
        format_subjects(merged),
        event.note.cause,
    )
}

fn format_field(name: &str, value: Option<&impl Display>) -> Option<String> {
    value.map(|value| format!(" {name}={value}"))
}
