//! Jobs of one team at one service that have tasks to start, sorted.

use std::collections::BTreeSet;
use std::collections::btree_set::Range;
use std::ops::Bound;

use crate::batch::Resources;
use crate::batch::candidate::Candidate;
use crate::batch::drawn::Drawn;
use crate::batch::least_resources::LeastResources;

/// The candidates of one team at one service.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TeamBacklog {
    by_work: BTreeSet<Candidate>,
    by_draw: BTreeSet<Drawn>,
    demands: LeastResources,
    reserved: LeastResources,
}

impl TeamBacklog {
    /// Adds a candidate. Each of its tasks to start needs at least `demand`, and reserves at least
    /// `reserved`.
    pub fn add(&mut self, candidate: Candidate, demand: &Resources, reserved: &Resources) {
        self.by_work.insert(candidate);
        self.by_draw.insert(Drawn::from(&candidate));
        self.demands.add(demand);
        self.reserved.add(reserved);
    }

    /// Removes a candidate that was added with the same arguments.
    pub fn remove(&mut self, candidate: Candidate, demand: &Resources, reserved: &Resources) {
        self.by_work.remove(&candidate);
        self.by_draw.remove(&Drawn::from(&candidate));
        self.demands.remove(demand);
        self.reserved.remove(reserved);
    }

    /// Whether there are no candidates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_work.is_empty()
    }

    /// Returns resources that no task of a candidate needs less of.
    #[must_use]
    pub fn least_demand(&self) -> Resources {
        self.demands.min()
    }

    /// Returns resources that no task of a candidate reserves less of.
    #[must_use]
    pub fn least_reserved(&self) -> Resources {
        self.reserved.min()
    }

    /// Returns the candidates in a range, those with the least remaining work in each rank first.
    pub fn by_work(&self, range: (Bound<Candidate>, Bound<Candidate>)) -> Range<'_, Candidate> {
        self.by_work.range(range)
    }

    /// Returns the candidates, in the order of the draw in each rank.
    pub fn by_draw(&self) -> Range<'_, Drawn> {
        self.by_draw.range(..)
    }
}
