//! Timeline across all processes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;
use crate::observe::Entry;
use crate::observe::HlcTimestamp;
use crate::observe::Note;

/// Timeline of one process, from a given time on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTimeline {
    /// Entries, oldest first.
    pub entries: Vec<Entry>,
    /// Number of older notes that the process has dropped.
    pub dropped: u64,
}

/// A timestamped note and the process that made the decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Timestamp that orders the events.
    pub stamp: HlcTimestamp,
    /// Unix time of the timestamp, in milliseconds.
    pub at: u64,
    /// Process that made the decision.
    pub by: NodeName,
    /// The decision.
    #[serde(flatten)]
    pub note: Note,
}

/// Events of all processes in one order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Events in causal order: each comes after all events that its process knew of.
    pub events: Vec<Event>,
    /// Processes that did not answer in time; their events are missing.
    pub missing: Vec<NodeName>,
    /// Number of dropped notes, for each process that has dropped any.
    pub dropped: BTreeMap<NodeName, u64>,
}

impl Timeline {
    /// Merges the timelines of processes by timestamp, ties by process name.
    #[must_use]
    pub fn merge(parts: BTreeMap<NodeName, NodeTimeline>, missing: Vec<NodeName>) -> Self {
        let mut timeline = Self {
            missing,
            ..Self::default()
        };
        for (node, part) in parts {
            if part.dropped > 0 {
                timeline.dropped.insert(node.clone(), part.dropped);
            }
            let events = part.entries.into_iter().map(|entry| Event {
                stamp: entry.stamp,
                at: entry.stamp.millis(),
                by: node.clone(),
                note: entry.note,
            });
            timeline.events.extend(events);
        }
        let order = |event: &Event| (event.stamp, event.by.clone());
        timeline.events.sort_by_cached_key(order);
        timeline
    }
}
