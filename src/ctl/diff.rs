//! The difference between a table and the state.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::fleet::TeamView;
use crate::name::TeamName;
use crate::record::TeamRow;

/// What a table changes.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct TableDiff {
    /// Teams that are new.
    pub added: Vec<TeamRow>,
    /// Teams that go.
    pub removed: Vec<TeamRow>,
    /// Teams with another row, as it was and as it will be.
    pub altered: Vec<(TeamRow, TeamRow)>,
}

impl TableDiff {
    /// The difference that `rows` make to `teams`.
    #[must_use]
    pub fn new(teams: &BTreeMap<TeamName, TeamView>, rows: &[TeamRow]) -> Self {
        let mut diff = Self::default();
        let mut gone: BTreeMap<_, _> = teams.iter().collect();
        for row in rows {
            let known = gone.remove(&row.team).map(|view| as_row(&row.team, view));
            match known {
                None => diff.added.push(row.clone()),
                Some(known) if known != *row => diff.altered.push((known, row.clone())),
                Some(_) => {}
            }
        }
        diff.removed = gone
            .into_iter()
            .map(|(team, view)| as_row(team, view))
            .collect();
        diff
    }
}

fn as_row(team: &TeamName, view: &TeamView) -> TeamRow {
    TeamRow {
        team: team.clone(),
        weight: view.row.weight,
        limit: view.row.limit,
        urgent: view.row.urgent,
    }
}

fn describe(row: &TeamRow) -> String {
    let urgent = if row.urgent { "yes" } else { "no" };
    format!("{},{},{},{urgent}", row.team, row.weight, row.limit)
}

impl fmt::Display for TableDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.removed {
            writeln!(f, "- {}", describe(row))?;
        }
        for row in &self.added {
            writeln!(f, "+ {}", describe(row))?;
        }
        for (before, after) in &self.altered {
            writeln!(f, "~ {} -> {}", describe(before), describe(after))?;
        }
        Ok(())
    }
}
