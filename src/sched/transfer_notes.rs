//! Time line notes about permit transfers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::TeamName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::sched::Action;
use crate::wire::Peer;
use crate::wire::PermitGrant;

/// Interval over which the transfers of a team are combined into one note, in milliseconds.
const NOTE_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Transfers {
    added: u32,
    shrunk: u32,
    free: i64,
    last: Option<Peer>,
}

/// Aggregates permit transfers, so that the time line gets at most one note per team and second.
#[derive(Debug, Default)]
pub struct TransferNotes {
    teams: BTreeMap<TeamName, Transfers>,
    due: Option<Instant>,
}

impl TransferNotes {
    /// Adds the messages that a ledger sent to its holders; `free` permits are left.
    pub fn add(&mut self, team: &TeamName, messages: &[(Peer, PermitGrant)], free: i64) {
        for (peer, permit) in messages {
            let transfers = self.teams.entry(team.clone()).or_default();
            transfers.free = free;
            if permit.added > 0 {
                transfers.added += permit.added;
                transfers.last = Some(peer.clone());
            } else {
                transfers.shrunk += 1;
            }
        }
    }

    /// Emits the notes of an interval that has ended. Teams that were only told to shrink get no
    /// note.
    pub fn take_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.teams.is_empty() || self.due.is_some_and(|due| now < due) {
            return;
        }
        self.due = Some(now + Duration::from_millis(NOTE_MS));
        let teams = std::mem::take(&mut self.teams);
        for (team, transfers) in teams {
            let Some(last) = transfers.last else {
                continue;
            };
            let cause = format!(
                "{} permits granted on demand, {} holders told to shrink, {} free",
                transfers.added, transfers.shrunk, transfers.free
            );
            let note = Note::new(NoteKind::PermitsMoved, cause)
                .team(&team)
                .node(&last.node);
            out.push(Action::Note(Box::new(note)));
        }
    }
}
