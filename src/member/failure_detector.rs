//! Detection of failed members.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::NodeName;
use crate::record::Change;
use crate::record::Member;
use crate::record::State;
use crate::wire::Hello;

/// Time without a message from a member after which it is suspected.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two calls of [`FailureDetector::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay of a tick above which this process assumes that it was itself suspended.
pub const MAX_TICK_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct WatchedMember {
    incarnation: u64,
    /// When the member is suspected, unless a message arrives before.
    deadline: Instant,
    /// Whether a message has arrived since this process started to watch the member.
    heard: bool,
}

/// Suspects members that a fleet process has not heard from. Time is passed in by the caller.
///
/// Reports are made only while the state of this process is fresh. All timeouts restart when the
/// state was not fresh or a tick was late, since the silence may then be this process's own fault.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    me: NodeName,
    watched: BTreeMap<NodeName, WatchedMember>,
    /// When the next tick is expected.
    next_tick: Option<Instant>,
}

impl FailureDetector {
    /// Creates the detector of the fleet process `me`; it watches no members yet.
    #[must_use]
    pub const fn new(me: NodeName) -> Self {
        Self {
            me,
            watched: BTreeMap::new(),
            next_tick: None,
        }
    }

    /// Restarts the timeout of `peer`, from which a message has arrived.
    pub fn hear(&mut self, now: Instant, peer: &Hello) {
        let watched = self.watched.get_mut(&peer.node);
        if let Some(watched) = watched.filter(|w| w.incarnation == peer.incarnation) {
            watched.deadline = now + SUSPECT_TIMEOUT;
            watched.heard = true;
        }
    }

    /// Returns the suspicions to report or to withdraw. `fresh` tells whether `state` is fresh.
    pub fn tick(&mut self, now: Instant, state: &State, fresh: bool) -> Vec<Change> {
        let suspended = self.next_tick.is_some_and(|due| now > due + MAX_TICK_DELAY);
        self.next_tick = Some(now + TICK_INTERVAL);
        if suspended || !fresh {
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
            let watched = watched.or_insert_with(|| WatchedMember::new(now, member));
            reports.extend(watched.report(now, node, &self.me, state));
        }
        reports
    }
}

impl WatchedMember {
    fn new(now: Instant, member: &Member) -> Self {
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
        let reporters = state.suspicions.get(node);
        let reported = reporters.is_some_and(|reporters| reporters.contains(me));
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
