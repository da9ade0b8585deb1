//! Selects events of the timeline.

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::TeamName;
use crate::observe::Event;
use crate::observe::Timeline;

/// Longest time between equal notes of different processes that count as one event.
const MERGE_WINDOW_MS: u64 = 10_000;

/// Subjects that an event must have; a field that is `None` matches every event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Team that the event is about.
    pub team: Option<TeamName>,
    /// Host that the event is about.
    pub host: Option<HostName>,
    /// Data centre that the event is about.
    pub dc: Option<DcName>,
    /// Process that recorded the event or that it is about.
    pub node: Option<NodeName>,
    /// Id of the request that the event is about.
    pub request: Option<String>,
}

/// An event, with the number of processes that reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergedEvent<'a> {
    /// Earliest report of the event.
    pub event: &'a Event,
    /// Number of processes that reported it, at least 1.
    pub processes: usize,
}

impl EventFilter {
    /// Whether an event has all subjects of the filter.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let note = &event.note;
        let is_node = |node: &NodeName| event.by == *node || note.node.as_ref() == Some(node);
        is_match(&self.team, &note.team)
            && is_match(&self.host, &note.host)
            && is_match(&self.dc, &note.dc)
            && is_match(&self.request, &note.request)
            && self.node.as_ref().is_none_or(is_node)
    }

    /// Matching events of a timeline; an event that several processes reported is listed once.
    #[must_use]
    pub fn select<'a>(&self, timeline: &'a Timeline) -> Vec<MergedEvent<'a>> {
        let mut merged: Vec<MergedEvent<'a>> = Vec::new();
        for event in timeline.events.iter().filter(|event| self.matches(event)) {
            let recent =
                |earlier: &&mut MergedEvent<'_>| event.at <= earlier.event.at + MERGE_WINDOW_MS;
            let mut earlier = merged.iter_mut().rev().take_while(recent);
            let duplicate = earlier
                .find(|earlier| earlier.event.note == event.note && earlier.event.by != event.by);
            match duplicate {
                Some(duplicate) => duplicate.processes += 1,
                None => merged.push(MergedEvent {
                    event,
                    processes: 1,
                }),
            }
        }
        merged
    }
}

fn is_match<T: PartialEq>(wanted: &Option<T>, have: &Option<T>) -> bool {
    wanted.is_none() || wanted == have
}
