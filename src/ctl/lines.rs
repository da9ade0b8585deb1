//! Events as lines of text.

use std::fmt::Display;

use time::OffsetDateTime;
use time::macros::format_description;

use crate::ctl::event_filter::MergedEvent;
use crate::observe::NoteKind;
use crate::observe::Timeline;

/// One line an event, and a line for each gap in the time line.
#[must_use]
pub fn lines(timeline: &Timeline, told: &[MergedEvent<'_>]) -> String {
    let mut text: String = told.iter().map(line).collect();
    for (node, count) in &timeline.dropped {
        text += &format!("# {node} no longer has {count} older notes\n");
    }
    for node in &timeline.missing {
        text += &format!("# {node} gave no answer\n");
    }
    text
}

/// Unix milliseconds as a time of day with its date, in UTC.
#[must_use]
pub fn clock(millis: u64) -> String {
    let format =
        format_description!("[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z");
    let nanos = i128::from(millis) * 1_000_000;
    OffsetDateTime::from_unix_timestamp_nanos(nanos)
        .ok()
        .and_then(|at| at.format(&format).ok())
        .unwrap_or_else(|| millis.to_string())
}

/// The word of a kind.
#[must_use]
pub fn word(kind: NoteKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// What an event is about, as `name=value` words.
#[must_use]
pub fn subjects(told: &MergedEvent<'_>) -> String {
    let note = &told.event.note;
    [
        pair("request", note.request.as_ref()),
        pair("team", note.team.as_ref()),
        pair("service", note.service.as_ref()),
        pair("host", note.host.as_ref()),
        pair("dc", note.dc.as_ref()),
        pair("node", note.node.as_ref()),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn line(told: &MergedEvent<'_>) -> String {
    let event = told.event;
    let others = match told.processes {
        1 => String::new(),
        count => format!(" ({count} processes)"),
    };
    format!(
        "{} {}{others} {}{}: {}\n",
        clock(event.at),
        event.by,
        word(event.note.kind),
        subjects(told),
        event.note.cause,
    )
}

fn pair(name: &str, value: Option<&impl Display>) -> Option<String> {
    value.map(|value| format!(" {name}={value}"))
}
