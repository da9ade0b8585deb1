//! What moved permits, for the time line.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::TeamName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::sched::Action;
use crate::wire::Peer;
use crate::wire::PermitGrant;

/// Time over which moves of a team are put into one note, in milliseconds.
const NOTE_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Moved {
    added: u32,
    shrunk: u32,
    free: i64,
    last: Option<Peer>,
}

/// Sums up moves of permits, so that the time line gets one note a team and second.
#[derive(Debug, Default)]
pub struct Moves {
    teams: BTreeMap<TeamName, Moved>,
    due: Option<Instant>,
}

impl Moves {
    /// Adds what a ledger told its holders.
    pub fn add(&mut self, team: &TeamName, told: &[(Peer, PermitGrant)], free: i64) {
        for (peer, permit) in told {
            let moved = self.teams.entry(team.clone()).or_default();
            moved.free = free;
            if permit.added > 0 {
                moved.added += permit.added;
                moved.last = Some(peer.clone());
            } else {
                moved.shrunk += 1;
            }
        }
    }

    /// Takes out the notes of the time that is over.
    pub fn take_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.teams.is_empty() || self.due.is_some_and(|due| now < due) {
            return;
        }
        self.due = Some(now + Duration::from_millis(NOTE_MS));
        let teams = std::mem::take(&mut self.teams);
        for (team, moved) in teams {
            let Some(last) = moved.last else {
                continue;
            };
            let cause = format!(
                "{} permits granted on demand, {} holders told to shrink, {} free",
                moved.added, moved.shrunk, moved.free
            );
            let note = Note::new(NoteKind::PermitsMoved, cause)
                .team(&team)
                .node(&last.node);
            out.push(Action::Note(Box::new(note)));
        }
    }
}
