//! Retry delays of refused requests, and time line notes about refusals.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::name::ServiceName;
use crate::name::TeamName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::sched::Action;
use crate::wire::RefusalCode;

/// Maximum retry delay, in milliseconds.
const RETRY_LIMIT_MS: u64 = 600_000;
/// Interval over which the refusals of a team are combined into one note, in milliseconds.
const NOTE_MS: u64 = 1_000;

#[derive(Debug)]
struct Refused {
    count: u32,
    code: RefusalCode,
    details: String,
}

/// Refusals of one service.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Latest retry time given to a refused caller, by team.
    last_retry: BTreeMap<TeamName, Instant>,
    refused: BTreeMap<TeamName, Refused>,
    due: Option<Instant>,
}

impl Refusals {
    /// Retry delay in milliseconds for a refused caller. It is twice `wait`, the time in seconds
    /// until the queued requests have started, to leave room for those that arrive meanwhile; and
    /// retries of a team are spaced `interval` seconds apart.
    pub fn retry_after(&mut self, now: Instant, team: &TeamName, wait: f64, interval: f64) -> u32 {
        let limit = now + Duration::from_millis(RETRY_LIMIT_MS);
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, 600.0));
        let free = now + seconds(2.0 * wait);
        let last = self
            .last_retry
            .get(team)
            .map(|last| *last + seconds(interval));
        let retry = last.unwrap_or(free).max(free).min(limit);
        self.last_retry.insert(team.clone(), retry);
        let millis = retry.saturating_duration_since(now).as_millis();
        u32::try_from(millis).unwrap_or(u32::MAX).max(1)
    }

    /// Counts a refusal for the next note. `details` describes its cause; only the first refusal of
    /// a team in an interval is described.
    pub fn record(&mut self, team: &TeamName, code: RefusalCode, details: impl FnOnce() -> String) {
        if let Some(refused) = self.refused.get_mut(team) {
            refused.count += 1;
            return;
        }
        let refused = Refused {
            count: 1,
            code,
            details: details(),
        };
        self.refused.insert(team.clone(), refused);
    }

    /// Emits the notes of an interval that has ended.
    pub fn take_due(&mut self, now: Instant, service: &ServiceName, out: &mut Vec<Action>) {
        self.last_retry.retain(|_, retry| *retry > now);
        if self.refused.is_empty() || self.due.is_some_and(|due| now < due) {
            return;
        }
        self.due = Some(now + Duration::from_millis(NOTE_MS));
        for (team, refused) in std::mem::take(&mut self.refused) {
            let code = refused.code.as_str();
            let cause = format!("{} refused, {code}: {}", refused.count, refused.details);
            let note = Note::new(NoteKind::RequestRefused, cause)
                .team(&team)
                .service(service);
            out.push(Action::Note(Box::new(note)));
        }
    }
}
