//! Difference between a table of teams and the state.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::fleet::TeamView;
use crate::name::TeamName;
use crate::record::TeamRow;

/// Changes that a table of teams makes to the state.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct TableDiff {
    /// Teams that only the table lists.
    pub added: Vec<TeamRow>,
    /// Teams that the table no longer lists.
    pub removed: Vec<TeamRow>,
    /// Teams whose rows differ: the current and the new row.
    pub altered: Vec<(TeamRow, TeamRow)>,
}

impl TableDiff {
    /// Computes what replacing `teams` by `rows` would change.
    #[must_use]
    pub fn new(teams: &BTreeMap<TeamName, TeamView>, rows: &[TeamRow]) -> Self {
        let mut diff = Self::default();
        let mut unlisted: BTreeMap<_, _> = teams.iter().collect();
        for row in rows {
            let current = unlisted
                .remove(&row.team)
                .map(|view| to_row(&row.team, view));
            match current {
                None => diff.added.push(row.clone()),
                Some(current) if current != *row => diff.altered.push((current, row.clone())),
                Some(_) => {}
            }
        }
        diff.removed = unlisted
            .into_iter()
            .map(|(team, view)| to_row(team, view))
            .collect();
        diff
    }
}

fn to_row(team: &TeamName, view: &TeamView) -> TeamRow {
    TeamRow {
        team: team.clone(),
        weight: view.row.weight,
        limit: view.row.limit,
        urgent: view.row.urgent,
    }
}

fn format_row(row: &TeamRow) -> String {
    let urgent = if row.urgent { "yes" } else { "no" };
    format!("{},{},{},{urgent}", row.team, row.weight, row.limit)
}

impl fmt::Display for TableDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.removed {
            writeln!(f, "- {}", format_row(row))?;
        }
        for row in &self.added {
            writeln!(f, "+ {}", format_row(row))?;
        }
        for (before, after) in &self.altered {
            writeln!(f, "~ {} -> {}", format_row(before), format_row(after))?;
        }
        Ok(())
    }
}
