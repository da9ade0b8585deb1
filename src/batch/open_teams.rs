//! The jobs of a service that may start under the limits of their teams.

use std::ops::Bound;

use crate::batch::Resources;
use crate::batch::candidate::Candidate;
use crate::batch::drawn::Drawn;
use crate::batch::merge::Merge;
use crate::batch::team_backlog::TeamBacklog;
use crate::name::TeamName;

/// The candidates of a service by team, without those of teams at their limits. The jobs of such a
/// team are left out all at once, so they take no place from jobs of others.
#[derive(Debug, Clone)]
pub struct OpenTeams<'a>(Vec<(Option<&'a TeamName>, &'a TeamBacklog)>);

impl<'a> OpenTeams<'a> {
    /// Leaves out a team.
    pub fn close(&mut self, team: &TeamName) {
        self.0.retain(|(other, _)| *other != Some(team));
    }

    /// Returns the candidates of a team that has a limit; `None` if it was left out or has none.
    #[must_use]
    pub fn get(&self, team: &TeamName) -> Option<&'a TeamBacklog> {
        let found = self.0.iter().find(|(other, _)| *other == Some(team));
        found.map(|(_, jobs)| *jobs)
    }

    /// Returns resources that no task of a candidate reserves less of.
    #[must_use]
    pub fn least_reserved(&self) -> Resources {
        let each = self.0.iter().map(|(_, jobs)| jobs.least_reserved());
        let least = each.reduce(|one, other| one.min(&other));
        least.unwrap_or_default()
    }

    /// Returns the candidates in a range, those with the least remaining work in each rank first.
    #[must_use]
    pub fn by_work(&self, range: (Bound<Candidate>, Bound<Candidate>)) -> Merge<'a, Candidate> {
        let teams = self.0.iter();
        teams
            .map(|(team, jobs)| (*team, jobs.by_work(range)))
            .collect()
    }

    /// Returns the candidates, in the order of the draw in each rank.
    #[must_use]
    pub fn by_draw(&self) -> Merge<'a, Drawn> {
        let teams = self.0.iter();
        teams.map(|(team, jobs)| (*team, jobs.by_draw())).collect()
    }
}

impl<'a> FromIterator<(Option<&'a TeamName>, &'a TeamBacklog)> for OpenTeams<'a> {
    fn from_iter<I: IntoIterator<Item = (Option<&'a TeamName>, &'a TeamBacklog)>>(
        teams: I,
    ) -> Self {
        Self(teams.into_iter().collect())
    }
}
