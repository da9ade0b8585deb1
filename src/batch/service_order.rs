//! The order in which the jobs of a service are served.

use std::collections::BTreeSet;
use std::iter::Peekable;

use crate::batch::JobId;
use crate::batch::Resources;
use crate::batch::candidate::Candidate;
use crate::batch::rank::Rank;
use crate::batch::service_backlog::Drawn;
use crate::batch::service_backlog::ServiceBacklog;
use crate::batch::sweep::Sweep;
use crate::name::ServiceName;

/// Number of candidates at the front that may find no capacity before the others get their turn.
const FRONT_MISSES: usize = 64;
/// Number of candidates behind the front that may find no capacity in one placement.
const REST_MISSES: usize = 32;

/// Position of a job among those of all services; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    rank: Rank,
    place: usize,
    /// The job.
    pub id: JobId,
}

/// Iterates over the jobs of a service that one placement examines. Among jobs of the same rank,
/// one with the least remaining work and one drawn by lot come in turn. The former alone would
/// never serve large jobs while more work arrives than the hosts can do. By lot, each job has the
/// same chance, so each size starts at least half as often as all.
///
/// How many it examines doesn't depend on how many wait: once too many at the front found no
/// capacity, it goes on where the previous placement stopped, a few jobs at a time.
pub struct ServiceOrder<'a> {
    service: &'a ServiceName,
    smallest: Resources,
    unanswered: usize,
    by_work: Peekable<Box<dyn Iterator<Item = &'a Candidate> + 'a>>,
    by_draw: Peekable<Box<dyn Iterator<Item = &'a Drawn> + 'a>>,
    rest: Box<dyn Iterator<Item = &'a Candidate> + 'a>,
    taken: BTreeSet<JobId>,
    drawn_first: bool,
    by_lot: bool,
    rank: Option<Rank>,
    place: usize,
    misses: usize,
    head: Option<Position>,
    // Candidate behind the front that `head` was made from.
    examined: Option<Candidate>,
    sweep: Sweep,
    complete: bool,
}

impl<'a> ServiceOrder<'a> {
    /// Returns the order of a service's jobs; `drawn_first` if the next to start is drawn by lot.
    /// Behind the front, it goes on with `sweep`. The service has `unanswered` starts.
    #[must_use]
    pub fn new(
        service: &'a ServiceName,
        backlog: &'a ServiceBacklog,
        drawn_first: bool,
        mut sweep: Sweep,
        unanswered: usize,
    ) -> Self {
        if sweep.left == 0 {
            sweep.left = backlog.len();
        }
        let by_work: Box<dyn Iterator<Item = &Candidate>> = Box::new(backlog.by_work());
        let by_draw: Box<dyn Iterator<Item = &Drawn>> = Box::new(backlog.by_draw());
        let mut order = Self {
            service,
            smallest: backlog.smallest(),
            unanswered,
            by_work: by_work.peekable(),
            by_draw: by_draw.peekable(),
            rest: Box::new(backlog.after(sweep.cursor)),
            taken: BTreeSet::new(),
            drawn_first,
            by_lot: drawn_first,
            rank: None,
            place: 0,
            misses: 0,
            head: None,
            examined: None,
            sweep,
            complete: false,
        };
        order.advance();
        order
    }

    /// Returns the service.
    #[must_use]
    pub const fn service(&self) -> &'a ServiceName {
        self.service
    }

    /// Returns the next job to examine; `None` after the last.
    #[must_use]
    pub const fn head(&self) -> Option<Position> {
        self.head
    }

    /// Returns resources that no task to start of the service reserves less of.
    #[must_use]
    pub const fn smallest(&self) -> Resources {
        self.smallest
    }

    /// Leaves out all jobs that haven't been examined: there is no capacity for any.
    pub const fn finish(&mut self) {
        self.head = None;
        self.complete = true;
    }

    /// Returns the number of starts of the service that wait for an answer.
    #[must_use]
    pub const fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Goes on to the next job. `served` tells whether the last one found capacity; the service has
    /// `unanswered` starts now.
    pub fn pass(&mut self, served: bool, unanswered: usize) {
        self.unanswered = unanswered;
        self.misses += usize::from(!served);
        if let Some(examined) = self.examined.take() {
            self.sweep.cursor = Some(examined);
            self.sweep.left = self.sweep.left.saturating_sub(1);
        }
        self.advance();
    }

    /// Whether there is nothing left to examine: all jobs have been, by this placement or by this
    /// and earlier ones, or there is no capacity for any.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete || self.sweep.left == 0
    }

    /// Returns with what the next placement goes on behind the front.
    #[must_use]
    pub const fn sweep(&self) -> Sweep {
        self.sweep
    }

    fn advance(&mut self) {
        self.head = if self.misses < FRONT_MISSES {
            self.next_at_front()
        } else if self.sweep.left > 0 && self.misses < FRONT_MISSES + REST_MISSES {
            self.next_behind()
        } else {
            None
        };
    }

    fn next_at_front(&mut self) -> Option<Position> {
        let taken = &self.taken;
        while self
            .by_work
            .next_if(|job| taken.contains(&job.id))
            .is_some()
        {}
        while self
            .by_draw
            .next_if(|job| taken.contains(&job.id))
            .is_some()
        {}
        let (Some(least), Some(drawn)) = (self.by_work.peek(), self.by_draw.peek()) else {
            self.complete = true;
            return None;
        };
        // Both iterators hold the same jobs, so both are at the lowest rank that is left.
        let rank = least.rank;
        if self.rank != Some(rank) {
            self.rank = Some(rank);
            self.place = 0;
            self.by_lot = self.drawn_first;
        }
        let id = if self.by_lot { drawn.id } else { least.id };
        self.by_lot = !self.by_lot;
        self.taken.insert(id);
        Some(self.position(rank, id))
    }

    fn next_behind(&mut self) -> Option<Position> {
        let taken = &self.taken;
        let next = self.rest.find(|job| !taken.contains(&job.id));
        let Some(&next) = next else {
            self.sweep.cursor = None;
            return None;
        };
        self.examined = Some(next);
        Some(self.position(next.rank, next.id))
    }

    const fn position(&mut self, rank: Rank, id: JobId) -> Position {
        let place = self.place;
        self.place += 1;
        Position { rank, place, id }
    }
}
