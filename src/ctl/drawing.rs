//! Timeline as an SVG image.

use std::collections::BTreeMap;

use svg::Document;
use svg::node::element::Circle;
use svg::node::element::Line;
use svg::node::element::Rectangle;
use svg::node::element::Text;
use svg::node::element::Title;

use crate::ctl::event_filter::MergedEvent;
use crate::ctl::lines::format_subjects;
use crate::ctl::lines::format_time;
use crate::ctl::lines::kind_name;
use crate::name::NodeName;

/// Width of the process names on the left, in SVG user units as all sizes here.
const LEFT_MARGIN: f64 = 180.0;
/// Width of the plot area.
const PLOT_WIDTH: f64 = 1_000.0;
/// Height of the row of one process.
const ROW_HEIGHT: f64 = 22.0;
/// Height of the time labels at the top.
const TOP_MARGIN: f64 = 30.0;
/// Fill colours of the kinds of events; with more kinds than colours, some share one.
const KIND_COLOURS: [&str; 6] = [
    "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#566573",
];

/// Draws a row for each process and a circle for each event; the tooltip describes the event.
#[must_use]
pub fn draw_timeline(events: &[MergedEvent<'_>]) -> String {
    let mut rows: BTreeMap<&NodeName, f64> = BTreeMap::new();
    for merged in events {
        rows.insert(&merged.event.by, 0.0);
    }
    for (row, y) in rows.values_mut().enumerate() {
        *y = TOP_MARGIN + ROW_HEIGHT * (row as f64 + 0.5);
    }
    let first = events.first().map_or(0, |merged| merged.event.at);
    let last = events.last().map_or(0, |merged| merged.event.at);
    let height = TOP_MARGIN + ROW_HEIGHT * rows.len() as f64 + 10.0;
    let size = (LEFT_MARGIN + PLOT_WIDTH + 20.0, height);
    let mut document = Document::new()
        .set("viewBox", (0.0, 0.0, size.0, size.1))
        .set("font-family", "sans-serif")
        .set("font-size", 11)
        .add(
            Rectangle::new()
                .set("width", size.0)
                .set("height", size.1)
                .set("fill", "white"),
        )
        .add(label(LEFT_MARGIN, 14.0, "start", &format_time(first)))
        .add(label(
            LEFT_MARGIN + PLOT_WIDTH,
            14.0,
            "end",
            &format_time(last),
        ));
    for (node, y) in &rows {
        document = document
            .add(label(LEFT_MARGIN - 10.0, y + 4.0, "end", node.as_str()))
            .add(row_line(*y));
    }
    let span = last.saturating_sub(first).max(1) as f64;
    for merged in events {
        let x = LEFT_MARGIN + PLOT_WIDTH * (merged.event.at.saturating_sub(first)) as f64 / span;
        document = document.add(event_circle(x, rows[&merged.event.by], merged));
    }
    document.to_string()
}

fn label(x: f64, y: f64, anchor: &str, text: &str) -> Text {
    Text::new(text)
        .set("x", x)
        .set("y", y)
        .set("text-anchor", anchor)
}

fn row_line(y: f64) -> Line {
    Line::new()
        .set("x1", LEFT_MARGIN)
        .set("x2", LEFT_MARGIN + PLOT_WIDTH)
        .set("y1", y)
        .set("y2", y)
        .set("stroke", "#ddd")
}

fn event_circle(x: f64, y: f64, merged: &MergedEvent<'_>) -> Circle {
    let event = merged.event;
    let kind = event.note.kind;
    let title = format!(
        "{} {}{}: {}",
        format_time(event.at),
        kind_name(kind),
        format_subjects(merged),
        event.note.cause
    );
    Circle::new()
        .set("cx", x)
        .set("cy", y)
        .set("r", 4)
        .set("fill", KIND_COLOURS[kind as usize % KIND_COLOURS.len()])
        .add(Title::new(title))
}
