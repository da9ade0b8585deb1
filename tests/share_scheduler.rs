//! How a scheduler tracks running attempts from the reports and links of its gates.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::name::TeamName;
use mimosastep::net::LinkId;
use mimosastep::record::Member;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::Team;
use mimosastep::sched::Action;
use mimosastep::sched::Event;
use mimosastep::sched::Scheduler;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use mimosastep::wire::RequestId;
use mimosastep::wire::SlotRequest;

mod share_fleet;

use share_fleet::fleet_state;
use share_fleet::name;

const FIRST_LINK: LinkId = LinkId(1);
const SECOND_LINK: LinkId = LinkId(2);

fn team() -> TeamName {
    name("t")
}

fn gate() -> Peer {
    Peer {
        node: name("g"),
        incarnation: 1,
    }
}

fn attempt(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        number: 1,
    }
}

/// The only scheduler, with one gate and one service of one host.
struct Harness {
    now: Instant,
    state: State,
    scheduler: Scheduler,
    out: Vec<Action>,
}

impl Harness {
    fn new(slots: u32, teams: &[(&str, Team)]) -> Self {
        let mut state = fleet_state(1, 1, slots, teams);
        for (node, role) in [("s", Role::Sched), ("g", Role::Gate)] {
            let member = Member {
                role,
                incarnation: 1,
                addr: ([127, 0, 0, 1], 1).into(),
                dc: name("a"),
                leaving: false,
            };
            state.members.insert(name(node), member);
            state.incarnations.insert(name(node), 1);
        }
        state.epoch = 2;
        let mut harness = Self {
            now: Instant::now(),
            scheduler: Scheduler::new(name("s"), 1),
            state,
            out: Vec::new(),
        };
        harness.handle(Event::State(Rc::new(harness.state.clone())));
        harness.handle(Event::Fresh(harness.now + Duration::from_secs(3600)));
        harness.connect(FIRST_LINK);
        harness
    }

    fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.out);
        self.scheduler.grant(self.now, &mut self.out);
    }

    /// Connects the gate, which reports that nothing runs.
    fn connect(&mut self, link: LinkId) {
        self.handle(Event::Up(link, gate()));
        self.report(link);
    }

    fn report(&mut self, link: LinkId) {
        let epoch = self.state.epoch;
        let running = Vec::new();
        self.handle(Event::Report {
            link,
            epoch,
            running,
        });
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += Duration::from_millis(20);
            self.handle(Event::Tick);
        }
    }

    fn ask(&mut self, number: u128) {
        let ask = SlotRequest {
            attempt: attempt(number),
            service: name("s0"),
            team: team(),
            urgent: false,
            remaining: 60_000,
            waited: 0,
            avoid: Vec::new(),
        };
        self.handle(Event::SlotRequest(FIRST_LINK, ask));
        self.advance(100);
    }

    fn grants(&self) -> usize {
        let is_grant = |action: &&Action| matches!(action, Action::Send(_, Message::Grant(_)));
        self.out.iter().filter(is_grant).count()
    }
}

fn team_row(limit: u32) -> Team {
    Team {
        weight: 1,
        limit,
        urgent: false,
    }
}

#[test]
fn a_report_that_crosses_a_grant_does_not_free_its_slot() {
    let mut harness = Harness::new(8, &[("t", team_row(1))]);
    harness.ask(1);
    assert_eq!(harness.grants(), 1);
    harness.report(FIRST_LINK);
    harness.ask(2);
    assert_eq!(
        (harness.grants(), harness.scheduler.running(&team())),
        (1, 1)
    );
    harness.connect(SECOND_LINK);
    harness.advance(100);
    assert_eq!(harness.grants(), 2, "a grant sent on another link is lost");
}

#[test]
fn a_lost_link_frees_no_slot_while_its_gate_is_a_member() {
    let mut harness = Harness::new(8, &[("t", team_row(1))]);
    harness.ask(1);
    harness.handle(Event::Down(FIRST_LINK));
    harness.advance(60_000);
    assert_eq!(harness.scheduler.running(&team()), 1);
    harness.state.members.remove("g");
    harness.state.epoch += 1;
    harness.handle(Event::State(Rc::new(harness.state.clone())));
    harness.advance(7_000);
    assert_eq!(
        harness.scheduler.running(&team()),
        1,
        "a task lease may still be valid"
    );
    harness.advance(2_000);
    assert_eq!(harness.scheduler.running(&team()), 0);
}
