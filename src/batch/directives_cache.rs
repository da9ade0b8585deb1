//! Local copy of the operators' directives.

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

/// Age at which the configuration is too old to answer clients, in milliseconds.
const STALE_MS: u64 = 1_800;
/// Time between two attempts to read the directives, in milliseconds.
const RETRY_MS: u64 = 100;

/// The operators' directives, and when the platform last confirmed that they are current.
#[derive(Debug, Default)]
pub struct DirectivesCache {
    directives: RefCell<Directives>,
    confirmed: Cell<Option<Instant>>,
    changes: Cell<u64>,
}

impl DirectivesCache {
    /// Creates a cache that is kept up to date in a task of its own until the process ends.
    pub fn spawn<W: Watch<Directives> + 'static>(watch: W, log: Logger) -> Rc<Self> {
        let cache = Rc::new(Self::default());
        compio::runtime::spawn(cache.clone().follow(watch, log)).detach();
        cache
    }

    /// The latest directives, however old they are.
    #[must_use]
    pub fn directives(&self) -> Directives {
        self.directives.borrow().clone()
    }

    /// Number of changes of the directives so far.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// The configuration, if it was confirmed recently enough to answer clients.
    #[must_use]
    pub fn policy(&self, now: Instant) -> Option<Rc<Policy>> {
        let confirmed = self.confirmed.get()?;
        if now > confirmed + Duration::from_millis(STALE_MS) {
            return None;
        }
        self.directives.borrow().policy.clone()
    }

    async fn follow<W: Watch<Directives>>(self: Rc<Self>, mut watch: W, log: Logger) {
        let mut reachable = true;
        loop {
            let asked = Instant::now();
            let result = watch.next().await;
            if result.is_ok() != reachable {
                reachable = !reachable;
                log_reachability(&log, &result);
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
        info!(log, "operator directives updated"; "version" => version,
            "closed" => ?directives.closed, "waves" => directives.waves.len());
        self.changes.set(self.changes.get() + 1);
        *self.directives.borrow_mut() = directives;
    }
}

fn log_reachability<T>(log: &Logger, result: &Result<T, Unreachable>) {
    match result {
        Ok(_) => info!(log, "operator directives reachable again"),
        Err(err) => warn!(log, "operator directives unreachable; retrying"; "why" => %err),
    }
}
