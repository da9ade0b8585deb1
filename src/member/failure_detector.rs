//! Which members have fallen silent.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::NodeName;
use crate::record::Change;
use crate::record::Member;
use crate::record::State;
use crate::wire::Hello;

/// How long a member may be silent before it is reported.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay of a tick after which this process takes itself to have been frozen.
pub const MAX_TICK_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Watched {
    incarnation: u64,
    /// When the member is silent too long.
    deadline: Instant,
    /// Whether it has been heard since this process began to watch it.
    heard: bool,
}

/// A fleet process's view of the other members. Reads no clock.
///
/// It reports only while its own state is fresh, and begins all waits anew when it was not, or
/// when its own tick is late: silence that comes from its own fault proves nothing.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    me: NodeName,
    watched: BTreeMap<NodeName, Watched>,
    /// When the next tick should come.
    due: Option<Instant>,
}

impl FailureDetector {
    /// A detector of the fleet process `me` that watches nobody yet.
    #[must_use]
    pub const fn new(me: NodeName) -> Self {
        Self {
            me,
            watched: BTreeMap::new(),
            due: None,
        }
    }

    /// Notes a message of `peer`.
    pub fn hear(&mut self, now: Instant, peer: &Hello) {
        let watched = self.watched.get_mut(&peer.node);
        if let Some(watched) = watched.filter(|w| w.incarnation == peer.incarnation) {
            watched.deadline = now + SUSPECT_TIMEOUT;
            watched.heard = true;
        }
    }

    /// The reports that are due; `fresh` tells whether the state is recent.
    pub fn tick(&mut self, now: Instant, state: &State, fresh: bool) -> Vec<Change> {
        let frozen = self.due.is_some_and(|due| now > due + MAX_TICK_DELAY);
        self.due = Some(now + TICK_INTERVAL);
        if frozen || !fresh {
            self.watched.clear();
        }
        self.watched
            .retain(|node, watched| state.is_member(node, watched.incarnation));
        if !fresh {
            return Vec::new();
        }
        let others = state.members.iter().filter(|(node, _)| **node != self.me);
        let mut reports = Vec::new();
        for (node, member) in others {
            let watched = self.watched.entry(node.clone());
            let watched = watched.or_insert_with(|| Watched::begin(now, member));
            reports.extend(watched.report(now, node, &self.me, state));
        }
        reports
    }
}

impl Watched {
    fn begin(now: Instant, member: &Member) -> Self {
        Self {
            incarnation: member.incarnation,
            deadline: now + SUSPECT_TIMEOUT,
            heard: false,
        }
    }

    fn report(
        &self,
        now: Instant,
        node: &NodeName,
        me: &NodeName,
        state: &State,
    ) -> Option<Change> {
        let said = state.suspicions.get(node);
        let reported = said.is_some_and(|said| said.contains(me));
        let silent = now >= self.deadline;
        let (node, incarnation, by) = (node.clone(), self.incarnation, me.clone());
        match (silent, reported) {
            (true, false) => Some(Change::Suspect {
                node,
                incarnation,
                by,
            }),
            (false, true) if self.heard => Some(Change::Trust {
                node,
                incarnation,
                by,
            }),
            _ => None,
        }
    }
}
