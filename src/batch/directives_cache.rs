//! What operators have written, as this process knows it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;
use slog::warn;

use crate::batch::Directives;
use crate::batch::Policy;
use crate::batch::Unreachable;
use crate::batch::Watch;

/// Age from which on the configuration is too old to answer clients by, in milliseconds.
const STALE_MS: u64 = 1_800;
/// Time between two attempts to read it, in milliseconds.
const RETRY_MS: u64 = 100;

/// The operators' orders, and when they were last confirmed.
#[derive(Debug, Default)]
pub struct DirectivesCache {
    directives: RefCell<Directives>,
    confirmed: Cell<Option<Instant>>,
    changes: Cell<u64>,
}

impl DirectivesCache {
    /// Follows the operators' orders for as long as the process lives.
    pub fn spawn<W: Watch<Directives> + 'static>(watch: W, log: Logger) -> Rc<Self> {
        let view = Rc::new(Self::default());
        compio::runtime::spawn(view.clone().follow(watch, log)).detach();
        view
    }

    /// The orders.
    #[must_use]
    pub fn directives(&self) -> Directives {
        self.directives.borrow().clone()
    }

    /// Number of changes so far.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// The configuration, if it is recent enough to answer by.
    #[must_use]
    pub fn policy(&self, now: Instant) -> Option<Rc<Policy>> {
        let confirmed = self.confirmed.get()?;
        if now > confirmed + Duration::from_millis(STALE_MS) {
            return None;
        }
        self.directives.borrow().policy.clone()
    }

    async fn follow<W: Watch<Directives>>(self: Rc<Self>, mut watch: W, log: Logger) {
        let mut reached = true;
        loop {
            let asked = Instant::now();
            let result = watch.next().await;
            if result.is_ok() != reached {
                reached = !reached;
                tell(&log, &result);
            }
            match result {
                Ok(change) => self.confirm(&log, asked, change),
                Err(_) => compio::time::sleep(Duration::from_millis(RETRY_MS)).await,
            }
        }
    }

    fn confirm(&self, log: &Logger, asked: Instant, change: Option<Directives>) {
        self.confirmed.set(Some(asked));
        let Some(directives) = change else {
            return;
        };
        let version = directives.policy.as_ref().map(|policy| policy.version);
        info!(log, "orders in force"; "version" => version,
            "closed" => ?directives.closed, "waves" => directives.waves.len());
        self.changes.set(self.changes.get() + 1);
        *self.directives.borrow_mut() = directives;
    }
}

fn tell<T>(log: &Logger, result: &Result<T, Unreachable>) {
    match result {
        Ok(_) => info!(log, "operators' orders reached again"),
        Err(err) => warn!(log, "operators' orders out of reach"; "why" => %err),
    }
}
