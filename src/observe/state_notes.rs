//! What changed between two states, as notes.

use std::collections::BTreeMap;

use crate::name::HostName;
use crate::name::NodeName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Host;
use crate::record::Member;
use crate::record::State;

/// Hosts named one by one in the notes of one step; a larger change is told as a number.
const HOST_LIMIT: usize = 64;

/// Notes on what `after` has changed in `before`.
#[must_use]
pub fn state_notes(before: &State, after: &State) -> Vec<Note> {
    let mut notes = Vec::new();
    members(before, after, &mut notes);
    centres(before, after, &mut notes);
    hosts(before, after, &mut notes);
    teams(before, after, &mut notes);
    notes
}

fn members(before: &State, after: &State, notes: &mut Vec<Note>) {
    let mut note = |node: &NodeName, cause: String| {
        notes.push(Note::new(NoteKind::MemberChanged, cause).node(node));
    };
    for (node, member) in &after.members {
        match before.members.get(node) {
            Some(known) if known.incarnation == member.incarnation => {
                if member.leaving && !known.leaving {
                    note(node, "leaving".to_owned());
                }
            }
            _ => note(node, joined(member)),
        }
    }
    for node in before.members.keys() {
        if !after.members.contains_key(node) {
            note(node, "ended".to_owned());
        }
    }
}

fn joined(member: &Member) -> String {
    format!("joined as {:?}", member.role).to_lowercase()
}

fn centres(before: &State, after: &State, notes: &mut Vec<Note>) {
    for (dc, active) in &after.dcs {
        if before.dcs.get(dc).is_some_and(|known| known != active) {
            let cause = if *active { "brought in" } else { "taken out" };
            notes.push(Note::new(NoteKind::ChangeAccepted, cause).dc(dc));
        }
    }
}

fn hosts(before: &State, after: &State, notes: &mut Vec<Note>) {
    let changed = host_changes(&before.hosts, &after.hosts);
    if changed.len() > HOST_LIMIT {
        let cause = format!("{} hosts changed", changed.len());
        notes.push(Note::new(NoteKind::ChangeAccepted, cause));
        return;
    }
    for (name, kind, cause) in changed {
        let host = after.hosts.get(name).or_else(|| before.hosts.get(name));
        let note = Note::new(kind, cause).host(name);
        notes.push(match host {
            Some(host) => note.dc(&host.dc),
            None => note,
        });
    }
}

type HostChange<'a> = (&'a HostName, NoteKind, String);

fn host_changes<'a>(
    before: &'a BTreeMap<HostName, Host>,
    after: &'a BTreeMap<HostName, Host>,
) -> Vec<HostChange<'a>> {
    let mut changes = Vec::new();
    let mut earlier = before.iter().peekable();
    // Both maps are sorted by name, so one pass over them is enough.
    for (name, host) in after {
        while let Some((gone, _)) = earlier.next_if(|(known, _)| *known < name) {
            changes.push(removed(gone));
        }
        match earlier.next_if(|(known, _)| *known == name) {
            Some((_, known)) if known == host => {}
            Some((_, known)) => {
                let (kind, cause) = host_change(known, host);
                changes.push((name, kind, cause));
            }
            None => {
                let cause = format!("added to {}", host.pool);
                changes.push((name, NoteKind::ChangeAccepted, cause));
            }
        }
    }
    changes.extend(earlier.map(|(gone, _)| removed(gone)));
    changes
}

fn removed(name: &HostName) -> HostChange<'_> {
    (name, NoteKind::ChangeAccepted, "removed".to_owned())
}

fn host_change(before: &Host, after: &Host) -> (NoteKind, String) {
    if before.pool != after.pool {
        let cause = format!("from {} to {}", before.pool, after.pool);
        return (NoteKind::HostMoved, cause);
    }
    if before.active != after.active {
        let cause = if after.active {
            "brought in"
        } else {
            "taken out"
        };
        return (NoteKind::ChangeAccepted, cause.to_owned());
    }
    if before.draining != after.draining {
        return match after.draining {
            true => (NoteKind::HostDraining, "drain accepted".to_owned()),
            false if before.maintained != after.maintained => {
                (NoteKind::HostReturned, "maintained".to_owned())
            }
            false => (NoteKind::HostReturned, "not maintained".to_owned()),
        };
    }
    (NoteKind::ChangeAccepted, "altered".to_owned())
}

fn teams(before: &State, after: &State, notes: &mut Vec<Note>) {
    for (team, row) in &after.teams {
        let cause = match before.teams.get(team) {
            Some(known) if known == row => continue,
            Some(_) => "row altered",
            None => "row added",
        };
        notes.push(Note::new(NoteKind::ChangeAccepted, cause).team(team));
    }
    for team in before
        .teams
        .keys()
        .filter(|team| !after.teams.contains_key(*team))
    {
        notes.push(Note::new(NoteKind::ChangeAccepted, "row removed").team(team));
    }
    let keys = (before.keys.len(), after.keys.len());
    if before.keys != after.keys {
        let cause = format!("keys: {} before, {} after", keys.0, keys.1);
        notes.push(Note::new(NoteKind::ChangeAccepted, cause));
    }
}
