//! A time line as an SVG picture.

use std::collections::BTreeMap;

use svg::Document;
use svg::node::element::Circle;
use svg::node::element::Line;
use svg::node::element::Rectangle;
use svg::node::element::Text;
use svg::node::element::Title;

use crate::ctl::event_filter::MergedEvent;
use crate::ctl::lines::clock;
use crate::ctl::lines::subjects;
use crate::ctl::lines::word;
use crate::name::NodeName;

/// Width of the names on the left.
const MARGIN: f64 = 180.0;
/// Width of the events.
const WIDTH: f64 = 1_000.0;
/// Height of a process.
const ROW: f64 = 22.0;
/// Height of the times on top.
const TOP: f64 = 30.0;
/// Colours of the kinds of events.
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#566573",
];

/// Draws one row a process and one point an event; a point's title tells it in words.
#[must_use]
pub fn draw(told: &[MergedEvent<'_>]) -> String {
    let mut rows: BTreeMap<&NodeName, f64> = BTreeMap::new();
    for told in told {
        rows.insert(&told.event.by, 0.0);
    }
    for (row, place) in rows.values_mut().enumerate() {
        *place = TOP + ROW * (row as f64 + 0.5);
    }
    let first = told.first().map_or(0, |told| told.event.at);
    let last = told.last().map_or(0, |told| told.event.at);
    let height = TOP + ROW * rows.len() as f64 + 10.0;
    let size = (MARGIN + WIDTH + 20.0, height);
    let mut picture = Document::new()
        .set("viewBox", (0.0, 0.0, size.0, size.1))
        .set("font-family", "sans-serif")
        .set("font-size", 11)
        .add(
            Rectangle::new()
                .set("width", size.0)
                .set("height", size.1)
                .set("fill", "white"),
        )
        .add(label(MARGIN, 14.0, "start", &clock(first)))
        .add(label(MARGIN + WIDTH, 14.0, "end", &clock(last)));
    for (node, place) in &rows {
        picture = picture
            .add(label(MARGIN - 10.0, place + 4.0, "end", node.as_str()))
            .add(rule(*place));
    }
    let span = last.saturating_sub(first).max(1) as f64;
    for told in told {
        let x = MARGIN + WIDTH * (told.event.at.saturating_sub(first)) as f64 / span;
        picture = picture.add(point(x, rows[&told.event.by], told));
    }
    picture.to_string()
}

fn label(x: f64, y: f64, anchor: &str, text: &str) -> Text {
    Text::new(text)
        .set("x", x)
        .set("y", y)
        .set("text-anchor", anchor)
}

fn rule(y: f64) -> Line {
    Line::new()
        .set("x1", MARGIN)
        .set("x2", MARGIN + WIDTH)
        .set("y1", y)
        .set("y2", y)
        .set("stroke", "#ddd")
}

fn point(x: f64, y: f64, told: &MergedEvent<'_>) -> Circle {
    let event = told.event;
    let kind = event.note.kind;
    let words = format!(
        "{} {}{}: {}",
        clock(event.at),
        word(kind),
        subjects(told),
        event.note.cause
    );
    Circle::new()
        .set("cx", x)
        .set("cy", y)
        .set("r", 4)
        .set("fill", COLOURS[kind as usize % COLOURS.len()])
        .add(Title::new(words))
}
