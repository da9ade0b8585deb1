//! One scheduler and what its gates tell it.

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
use mimosastep::wire::Ask;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use mimosastep::wire::RequestId;

mod share_fleet;

use share_fleet::fleet_state;
use share_fleet::name;

const FIRST: LinkId = LinkId(1);
const SECOND: LinkId = LinkId(2);

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

/// A scheduler that is alone with one gate, and one service of `slots` slots.
struct One {
    now: Instant,
    state: State,
    scheduler: Scheduler,
    out: Vec<Action>,
}

impl One {
    fn open(slots: u32, teams: &[(&str, Team)]) -> Self {
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
        let mut one = Self {
            now: Instant::now(),
            scheduler: Scheduler::new(name("s"), 1),
            state,
            out: Vec::new(),
        };
        one.tell(Event::State(Rc::new(one.state.clone())));
        one.tell(Event::Fresh(one.now + Duration::from_secs(3600)));
        one.link(FIRST);
        one
    }

    fn tell(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.out);
        self.scheduler.grant(self.now, &mut self.out);
    }

    /// Connects the gate, which reports nothing running.
    fn link(&mut self, link: LinkId) {
        self.tell(Event::Up(link, gate()));
        self.report(link);
    }

    fn report(&mut self, link: LinkId) {
        let epoch = self.state.epoch;
        let running = Vec::new();
        self.tell(Event::Report {
            link,
            epoch,
            running,
        });
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += Duration::from_millis(20);
            self.tell(Event::Tick);
        }
    }

    fn ask(&mut self, number: u128) {
        let ask = Ask {
            attempt: attempt(number),
            service: name("s0"),
            team: team(),
            urgent: false,
            remaining: 60_000,
            waited: 0,
            avoid: Vec::new(),
        };
        self.tell(Event::Ask(FIRST, ask));
        self.pass(100);
    }

    fn granted(&self) -> usize {
        let grant = |action: &&Action| matches!(action, Action::Send(_, Message::Grant(_)));
        self.out.iter().filter(grant).count()
    }
}

fn row(limit: u32) -> Team {
    Team {
        weight: 1,
        limit,
        urgent: false,
    }
}

#[test]
fn a_report_that_crosses_a_grant_does_not_free_its_slot() {
    let mut one = One::open(8, &[("t", row(1))]);
    one.ask(1);
    assert_eq!(one.granted(), 1);
    one.report(FIRST);
    one.ask(2);
    assert_eq!((one.granted(), one.scheduler.running(&team())), (1, 1));
    one.link(SECOND);
    one.pass(100);
    assert_eq!(one.granted(), 2, "on another link it was lost");
}

#[test]
fn a_lost_link_frees_no_slot_while_its_gate_is_a_member() {
    let mut one = One::open(8, &[("t", row(1))]);
    one.ask(1);
    one.tell(Event::Down(FIRST));
    one.pass(60_000);
    assert_eq!(one.scheduler.running(&team()), 1);
    one.state.members.remove("g");
    one.state.epoch += 1;
    one.tell(Event::State(Rc::new(one.state.clone())));
    one.pass(7_000);
    assert_eq!(one.scheduler.running(&team()), 1, "a task lease may last");
    one.pass(2_000);
    assert_eq!(one.scheduler.running(&team()), 0);
}
