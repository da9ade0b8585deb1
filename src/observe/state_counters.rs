//! Keeps the metrics of the state up to date.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;

use crate::member::StateEvent;
use crate::observe::Counters;
use crate::observe::unix_millis;

/// Copies what a process learns about its state into its counters.
pub async fn update_state_counters(
    counters: Arc<Counters>,
    mut events: UnboundedReceiver<StateEvent>,
) {
    while let Some(event) = events.next().await {
        match event {
            StateEvent::State(state) => {
                counters.offset.store(state.offset, Relaxed);
                counters.revision.store(state.revision, Relaxed);
                counters.epoch.store(state.epoch, Relaxed);
            }
            StateEvent::Fresh(until) => counters.fresh_until.store(unix_of(until), Relaxed),
        }
    }
}

/// The Unix time in milliseconds of a deadline.
fn unix_of(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    unix_millis().saturating_add(left)
}
