//! Connections that may be cut.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::intake::IntakeEvent;
use crate::intake::Stage;

/// Connections that may be cut to make room, by stage; within one, the first is the one that has been
/// in it for longest.
#[derive(Debug, Default)]
pub struct Waiting {
    receiving: BTreeSet<(Instant, u64)>,
    idle: BTreeSet<(Instant, u64)>,
}

/// A connection that may be cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cuttable {
    /// Its number.
    pub id: u64,
    /// Since when it has been in its stage.
    pub since: Instant,
    /// What cutting it is reported as.
    pub event: IntakeEvent,
}

impl Waiting {
    /// Adds a connection that is in a stage since `since`.
    pub fn add(&mut self, id: u64, stage: Stage, since: Instant) {
        if let Some(connections) = self.of_mut(stage) {
            connections.insert((since, id));
        }
    }

    /// Removes a connection that was added with the same arguments.
    pub fn remove(&mut self, id: u64, stage: Stage, since: Instant) {
        if let Some(connections) = self.of_mut(stage) {
            connections.remove(&(since, id));
        }
    }

    /// Returns the connections to cut first of each stage, incomplete requests before idle ones.
    pub fn firsts(&self) -> impl Iterator<Item = Cuttable> {
        let stages = [
            (&self.receiving, IntakeEvent::IncompleteCut),
            (&self.idle, IntakeEvent::IdleCut),
        ];
        stages.into_iter().filter_map(|(connections, event)| {
            let &(since, id) = connections.first()?;
            Some(Cuttable { id, since, event })
        })
    }

    /// Returns the connection that has been in its stage for longest, whatever the stage.
    pub fn oldest(&self) -> Option<Cuttable> {
        self.firsts().min_by_key(|first| first.since)
    }

    const fn of_mut(&mut self, stage: Stage) -> Option<&mut BTreeSet<(Instant, u64)>> {
        match stage {
            Stage::Receiving => Some(&mut self.receiving),
            Stage::Idle => Some(&mut self.idle),
            Stage::Serving => None,
        }
    }
}
