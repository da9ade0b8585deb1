//! The order in which one placement examines the jobs of a service.

use crate::batch::JobId;
use crate::batch::Resources;
use crate::batch::front::Front;
use crate::batch::open_teams::OpenTeams;
use crate::batch::position::Position;
use crate::batch::rank::Rank;
use crate::batch::round::Round;
use crate::batch::sweep::Sweep;
use crate::batch::team_backlog::TeamBacklog;
use crate::name::ServiceName;
use crate::name::TeamName;

/// Number of candidates at the front that may find no capacity before the others get their turn.
const FRONT_MISSES: usize = 64;
/// Number of candidates behind the front that may find no capacity in one placement.
const REST_MISSES: usize = 32;

/// Iterates over the jobs of a service that one placement examines: those at the front, and then,
/// once too many of them found no capacity, a few of the others. So how many it examines doesn't
/// depend on how many wait.
pub struct ServiceOrder<'a> {
    service: &'a ServiceName,
    teams: OpenTeams<'a>,
    least_reserved: Resources,
    unanswered: usize,
    front: Front<'a>,
    sweep: Sweep<'a>,
    misses: usize,
    head: Option<Position>,
    complete: bool,
}

impl<'a> ServiceOrder<'a> {
    /// Returns the order of the jobs of these teams at a service; `drawn_first` if the next to start is drawn by lot.
    /// Behind the front, it goes on with `round`. The service has `unanswered` starts.
    #[must_use]
    pub fn new(
        service: &'a ServiceName,
        teams: OpenTeams<'a>,
        drawn_first: bool,
        round: Round,
        unanswered: usize,
    ) -> Self {
        let mut order = Self {
            service,
            least_reserved: teams.least_reserved(),
            unanswered,
            front: Front::new(&teams, drawn_first),
            sweep: Sweep::new(&teams, round),
            teams,
            misses: 0,
            head: None,
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
    pub const fn least_reserved(&self) -> Resources {
        self.least_reserved
    }

    /// Returns resources that no task to start of a team needs less of; `None` if it has no limit or
    /// was left out.
    #[must_use]
    pub fn least_demand(&self, team: &TeamName) -> Option<Resources> {
        self.teams.get(team).map(TeamBacklog::least_demand)
    }

    /// Leaves out the remaining jobs of a team, which is at its limit.
    pub fn close(&mut self, team: &TeamName) {
        self.teams.close(team);
        self.front.close(team);
        self.sweep.close(team);
        self.least_reserved = self.teams.least_reserved();
    }

    /// Returns the number of starts of the service that wait for an answer.
    #[must_use]
    pub const fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Leaves out all jobs that haven't been examined: there is no capacity for any.
    pub const fn finish(&mut self) {
        self.head = None;
        self.complete = true;
    }

    /// Goes on to the next job. `served` tells whether the last one found capacity; the service has
    /// `unanswered` starts now.
    pub fn pass(&mut self, served: bool, unanswered: usize) {
        self.unanswered = unanswered;
        self.misses += usize::from(!served);
        self.sweep.pass();
        self.advance();
    }

    /// Whether no job is left to examine: each has been, by this placement or by an earlier one in
    /// the same round, or its team is at its limit, or there is no capacity for any.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the round with which the next placement goes on behind the front.
    #[must_use]
    pub const fn round(&self) -> Round {
        self.sweep.round()
    }

    fn advance(&mut self) {
        let next = if self.misses < FRONT_MISSES {
            self.front.next()
        } else {
            let next = self.sweep.advance(&self.front);
            next.map(|job| (job.rank, job.id))
        };
        self.complete = next.is_none();
        let left = self.misses < FRONT_MISSES + REST_MISSES;
        let next = next.filter(|_| left);
        self.head = next.map(|(rank, id)| self.position(rank, id));
    }

    /// Returns the position of the job that comes after `head`.
    fn position(&self, rank: Rank, id: JobId) -> Position {
        let same = self.head.filter(|head| head.rank == rank);
        let place = same.map_or(0, |head| head.place + 1);
        Position { rank, place, id }
    }
}
