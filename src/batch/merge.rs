//! Merges sorted jobs of several teams.

use std::collections::BTreeMap;
use std::collections::btree_set::Range;

use crate::name::TeamName;

/// Iterates over the jobs of several teams in their common order.
pub struct Merge<'a, T> {
    // The next job of each team, the team and the jobs that follow.
    heads: BTreeMap<T, (Option<&'a TeamName>, Range<'a, T>)>,
}

impl<'a, T: Copy + Ord> Merge<'a, T> {
    /// Returns the next job.
    #[must_use]
    pub fn peek(&self) -> Option<&T> {
        self.heads.keys().next()
    }

    /// Leaves out the remaining jobs of a team.
    pub fn close(&mut self, team: &TeamName) {
        self.heads.retain(|_, (other, _)| *other != Some(team));
    }

    fn push(&mut self, team: Option<&'a TeamName>, mut jobs: Range<'a, T>) {
        if let Some(&head) = jobs.next() {
            self.heads.insert(head, (team, jobs));
        }
    }
}

impl<'a, T: Copy + Ord> FromIterator<(Option<&'a TeamName>, Range<'a, T>)> for Merge<'a, T> {
    fn from_iter<I: IntoIterator<Item = (Option<&'a TeamName>, Range<'a, T>)>>(teams: I) -> Self {
        let mut merge = Self {
            heads: BTreeMap::new(),
        };
        for (team, jobs) in teams {
            merge.push(team, jobs);
        }
        merge
    }
}

impl<T: Copy + Ord> Iterator for Merge<'_, T> {
    type Item = T;

    fn next(&mut self) -> Option<T> {
        let (head, (team, jobs)) = self.heads.pop_first()?;
        self.push(team, jobs);
        Some(head)
    }
}
