//! The time line over all processes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::name::NodeName;
use crate::observe::Entry;
use crate::observe::HlcTimestamp;
use crate::observe::Note;

/// What one process contributes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTimeline {
    /// Its entries, oldest first.
    pub entries: Vec<Entry>,
    /// Notes that it no longer has.
    pub dropped: u64,
}

/// A note with its time and the process that decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub stamp: HlcTimestamp,
    /// Unix time in milliseconds.
    pub at: u64,
    /// The process that decided.
    pub by: NodeName,
    /// What was decided.
    #[serde(flatten)]
    pub note: Note,
}

/// All processes' events in one order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// The events; every event comes after all that its process knew of.
    pub events: Vec<Event>,
    /// Processes that gave no answer in time.
    pub missing: Vec<NodeName>,
    /// Notes that processes no longer have, by process.
    pub dropped: BTreeMap<NodeName, u64>,
}

impl Timeline {
    /// Merges the shares of processes by the order of their stamps.
    #[must_use]
    pub fn merge(shares: BTreeMap<NodeName, NodeTimeline>, missing: Vec<NodeName>) -> Self {
        let mut timeline = Self {
            missing,
            ..Self::default()
        };
        for (node, share) in shares {
            if share.dropped > 0 {
                timeline.dropped.insert(node.clone(), share.dropped);
            }
            let events = share.entries.into_iter().map(|entry| Event {
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
