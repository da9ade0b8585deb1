//! Prints results of commands.

use std::fmt::Display;

use serde::Serialize;

use crate::ctl::CtlError;
use crate::ctl::args::StatePart;
use crate::fleet::StateView;

/// Prints results on standard output, as text or as JSON.
pub struct Printer {
    /// Prints JSON if true, else text.
    pub json: bool,
}

impl Printer {
    /// Prints `value` in JSON mode, else `lines`.
    pub fn print<T: Serialize>(&self, value: &T, lines: impl Display) -> Result<(), CtlError> {
        if self.json {
            println!("{}", serde_json::to_string(value).map_err(CtlError::usage)?);
        } else {
            print!("{lines}");
        }
        Ok(())
    }

    /// Prints a part of the state, as a table in text mode.
    pub fn print_part(&self, view: &StateView, part: StatePart) -> Result<(), CtlError> {
        match part {
            StatePart::Teams => self.print(&view.teams, format_teams(view)),
            StatePart::Pools => self.print(&view.pools, format_pools(view)),
            StatePart::Hosts => self.print(&view.hosts, format_hosts(view)),
            StatePart::Members => self.print(&view.members, format_members(view)),
            StatePart::Dcs => self.print(&view.centres, format_centres(view)),
        }
    }
}

/// Formats `rows` as left-aligned columns under `header`.
fn format_columns<const N: usize>(
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

fn format_teams(view: &StateView) -> String {
    let rows = view.teams.iter().map(|(name, team)| {
        [
            name.to_string(),
            team.row.weight.to_string(),
            team.row.limit.to_string(),
            yes_no(team.row.urgent),
            team.keys.to_string(),
        ]
    });
    format_columns(["TEAM", "WEIGHT", "LIMIT", "URGENT", "KEYS"], rows)
}

fn format_pools(view: &StateView) -> String {
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
    format_columns(["POOL", "SERVICE", "OPEN", "BUDGET", "TEAMS"], rows)
}

fn format_hosts(view: &StateView) -> String {
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
    format_columns(header, rows)
}

fn format_members(view: &StateView) -> String {
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
    format_columns(
        ["NODE", "ROLE", "INCARNATION", "ADDR", "DC", "LEAVING"],
        rows,
    )
}

fn format_centres(view: &StateView) -> String {
    let rows = view
        .centres
        .iter()
        .map(|(name, dc)| [name.to_string(), yes_no(dc.active)]);
    format_columns(["DC", "ACTIVE"], rows)
}
