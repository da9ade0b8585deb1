//! Which events of the time line are wanted.

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::TeamName;
use crate::observe::Event;
use crate::observe::Timeline;

/// Two processes that tell the same within this time tell of one thing, in milliseconds.
const SAME_MS: u64 = 10_000;

/// Subjects that an event must have; each that is none is not looked at.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// The team.
    pub team: Option<TeamName>,
    /// The host.
    pub host: Option<HostName>,
    /// The data centre.
    pub dc: Option<DcName>,
    /// The process, as the one that decided or the one it is about.
    pub node: Option<NodeName>,
    /// The request.
    pub request: Option<String>,
}

/// An event, and how many further processes told the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergedEvent<'a> {
    /// The first of them.
    pub event: &'a Event,
    /// Processes that told it.
    pub processes: usize,
}

impl EventFilter {
    /// Whether an event is wanted.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let note = &event.note;
        let by = |node: &NodeName| event.by == *node || note.node.as_ref() == Some(node);
        same(&self.team, &note.team)
            && same(&self.host, &note.host)
            && same(&self.dc, &note.dc)
            && same(&self.request, &note.request)
            && self.node.as_ref().is_none_or(by)
    }

    /// The wanted events of a time line; what several processes told is listed once.
    #[must_use]
    pub fn of<'a>(&self, timeline: &'a Timeline) -> Vec<MergedEvent<'a>> {
        let mut told: Vec<MergedEvent<'a>> = Vec::new();
        for event in timeline.events.iter().filter(|event| self.matches(event)) {
            let recent = |known: &&mut MergedEvent<'_>| event.at <= known.event.at + SAME_MS;
            let mut known = told.iter_mut().rev().take_while(recent);
            let twin =
                known.find(|known| known.event.note == event.note && known.event.by != event.by);
            match twin {
                Some(twin) => twin.processes += 1,
                None => told.push(MergedEvent {
                    event,
                    processes: 1,
                }),
            }
        }
        told
    }
}

fn same<T: PartialEq>(wanted: &Option<T>, have: &Option<T>) -> bool {
    wanted.is_none() || wanted == have
}
