//! Prints the state for people.

use std::fmt::Display;

use serde::Serialize;

use crate::ctl::CtlError;
use crate::ctl::args::Part;
use crate::fleet::StateView;

/// Prints on standard output, as lines or as JSON.
pub struct Printer {
    /// Whether to print JSON.
    pub json: bool,
}

impl Printer {
    /// Prints `lines`, or `value` as JSON.
    pub fn print<T: Serialize>(&self, value: &T, lines: impl Display) -> Result<(), CtlError> {
        if self.json {
            println!("{}", serde_json::to_string(value).map_err(CtlError::usage)?);
        } else {
            print!("{lines}");
        }
        Ok(())
    }

    /// Prints a part of the state.
    pub fn part(&self, view: &StateView, part: Part) -> Result<(), CtlError> {
        match part {
            Part::Teams => self.print(&view.teams, teams(view)),
            Part::Pools => self.print(&view.pools, pools(view)),
            Part::Hosts => self.print(&view.hosts, hosts(view)),
            Part::Members => self.print(&view.members, members(view)),
            Part::Dcs => self.print(&view.centres, centres(view)),
        }
    }
}

/// Aligns the columns of `rows` under `header`.
fn columns<const N: usize>(
    header: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut lines = vec![header.map(str::to_owned)];
    lines.extend(rows);
    let width = |column: usize| {
        lines
            .iter()
            .map(|line| line[column].len())
            .max()
            .unwrap_or(0)
    };
    let widths: [usize; N] = std::array::from_fn(width);
    let mut text = String::new();
    for line in &lines {
        let cells = line
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

fn yes_no(flag: bool) -> String {
    let word = if flag { "yes" } else { "no" };
    word.to_owned()
}

fn teams(view: &StateView) -> String {
    let rows = view.teams.iter().map(|(name, team)| {
        [
            name.to_string(),
            team.row.weight.to_string(),
            team.row.limit.to_string(),
            yes_no(team.row.urgent),
            team.keys.to_string(),
        ]
    });
    columns(["TEAM", "WEIGHT", "LIMIT", "URGENT", "KEYS"], rows)
}

fn pools(view: &StateView) -> String {
    let rows = view.pools.iter().map(|(name, pool)| {
        let teams: Vec<_> = pool.teams.iter().map(|team| team.as_str()).collect();
        let service = pool
            .service
            .as_ref()
            .map_or("(spare)", |service| service.as_str());
        let teams = if teams.is_empty() {
            "(all)".to_owned()
        } else {
            teams.join(" ")
        };
        [
            name.to_string(),
            service.to_owned(),
            yes_no(pool.open),
            pool.budget.to_string(),
            teams,
        ]
    });
    columns(["POOL", "SERVICE", "OPEN", "BUDGET", "TEAMS"], rows)
}

fn hosts(view: &StateView) -> String {
    let rows = view.hosts.iter().map(|(name, host)| {
        [
            name.to_string(),
            host.dc.to_string(),
            host.rack.to_string(),
            host.addr.to_string(),
            host.slots.to_string(),
            host.pool.to_string(),
            yes_no(host.active),
            yes_no(host.draining),
        ]
    });
    let header = [
        "HOST", "DC", "RACK", "ADDR", "SLOTS", "POOL", "ACTIVE", "DRAINING",
    ];
    columns(header, rows)
}

fn members(view: &StateView) -> String {
    let rows = view.members.iter().map(|(name, member)| {
        [
            name.to_string(),
            format!("{:?}", member.role).to_lowercase(),
            member.incarnation.to_string(),
            member.addr.to_string(),
            member.dc.to_string(),
            yes_no(member.leaving),
        ]
    });
    columns(
        ["NODE", "ROLE", "INCARNATION", "ADDR", "DC", "LEAVING"],
        rows,
    )
}

fn centres(view: &StateView) -> String {
    let rows = view
        .centres
        .iter()
        .map(|(name, dc)| [name.to_string(), yes_no(dc.active)]);
    columns(["DC", "ACTIVE"], rows)
}
