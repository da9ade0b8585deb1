//! Keeps the state's metrics up to date and puts its changes on the time line.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;

use crate::member::StateEvent;
use crate::observe::Counters;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::observe::Recorder;
use crate::observe::state_notes;
use crate::observe::unix_millis;
use crate::record::State;

/// Copies what a process learns about its state into its counters, and into `recorder` if there
/// is one: the other processes would only repeat it.
pub async fn monitor(
    counters: Arc<Counters>,
    recorder: Option<Recorder>,
    mut events: UnboundedReceiver<StateEvent>,
) {
    let mut known: Rc<State> = Rc::default();
    while let Some(event) = events.next().await {
        match event {
            StateEvent::State(state) => {
                counters.offset.store(state.offset, Relaxed);
                counters.revision.store(state.revision, Relaxed);
                counters.epoch.store(state.epoch, Relaxed);
                if let Some(recorder) = &recorder {
                    let notes = state_notes(&known, &state);
                    notes.into_iter().for_each(|note| recorder.record(note));
                }
                known = state;
            }
            StateEvent::Fresh(until) => {
                let until = unix_of(until);
                let lapsed = counters.fresh.swap(until, Relaxed);
                if let Some(recorder) = &recorder {
                    note_lapse(recorder, lapsed);
                }
            }
        }
    }
}

fn note_lapse(recorder: &Recorder, lapsed: u64) {
    let now = unix_millis();
    if lapsed > 0 && lapsed < now {
        let cause = format!("not fresh for {} ms", now - lapsed);
        recorder.record(Note::new(NoteKind::FreshnessRegained, cause));
    }
}

/// The Unix time in milliseconds of a deadline.
fn unix_of(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    unix_millis().saturating_add(left)
}
