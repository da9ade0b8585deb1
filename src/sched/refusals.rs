//! When refused callers should come back, and what the time line says of refusals.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::ServiceName;
use crate::name::TeamName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::sched::Action;
use crate::wire::RefusalCode;

/// Longest time to come back after, in milliseconds.
const RETRY_LIMIT_MS: u64 = 600_000;
/// Time over which refusals of a team are put into one note, in milliseconds.
const NOTE_MS: u64 = 1_000;

#[derive(Debug)]
struct Refused {
    count: u32,
    code: RefusalCode,
    figures: String,
}

/// Refusals of one service.
#[derive(Debug, Default)]
pub struct Refusals {
    /// When the last caller of a team that was refused should come back.
    promised: BTreeMap<TeamName, Instant>,
    refused: BTreeMap<TeamName, Refused>,
    due: Option<Instant>,
}

impl Refusals {
    /// Milliseconds after which a refused caller finds a place: once what waits now has started, as
    /// much again for what comes meanwhile, and after the callers refused before it, one each
    /// `every` seconds.
    pub fn promise(&mut self, now: Instant, team: &TeamName, wait: f64, every: f64) -> u32 {
        let limit = now + Duration::from_millis(RETRY_LIMIT_MS);
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, 600.0));
        let free = now + seconds(2.0 * wait);
        let last = self.promised.get(team).map(|last| *last + seconds(every));
        let back = last.unwrap_or(free).max(free).min(limit);
        self.promised.insert(team.clone(), back);
        let millis = back.saturating_duration_since(now).as_millis();
        u32::try_from(millis).unwrap_or(u32::MAX).max(1)
    }

    /// Adds a refusal to the next note; `figures` says what led to it.
    pub fn note(&mut self, team: &TeamName, code: RefusalCode, figures: impl FnOnce() -> String) {
        if let Some(refused) = self.refused.get_mut(team) {
            refused.count += 1;
            return;
        }
        let refused = Refused {
            count: 1,
            code,
            figures: figures(),
        };
        self.refused.insert(team.clone(), refused);
    }

    /// Takes out the notes of the time that is over.
    pub fn take_due(&mut self, now: Instant, service: &ServiceName, out: &mut Vec<Action>) {
        self.promised.retain(|_, back| *back > now);
        if self.refused.is_empty() || self.due.is_some_and(|due| now < due) {
            return;
        }
        self.due = Some(now + Duration::from_millis(NOTE_MS));
        for (team, refused) in std::mem::take(&mut self.refused) {
            let code = refused.code.as_str();
            let cause = format!("{} refused, {code}: {}", refused.count, refused.figures);
            let note = Note::new(NoteKind::RequestRefused, cause)
                .team(&team)
                .service(service);
            out.push(Action::Note(Box::new(note)));
        }
    }
}
