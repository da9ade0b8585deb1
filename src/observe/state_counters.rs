//! Keeps the counters of the state up to date.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;

use crate::member::StateEvent;
use crate::observe::Counters;
use crate::observe::unix_millis;

/// Copies revision, offset, epoch and freshness of the state into `counters` until `events` ends.
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
            StateEvent::Fresh(until) => counters
                .fresh_until
                .store(deadline_unix_millis(until), Relaxed),
        }
    }
}

/// Converts a deadline to Unix time in milliseconds; a past one becomes the current time.
fn deadline_unix_millis(deadline: Instant) -> u64 {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    unix_millis().saturating_add(remaining)
}
