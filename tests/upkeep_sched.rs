//! What a scheduler does for upkeep: it fills data centres gradually and reports draining hosts.

mod share_fleet;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

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
use mimosastep::wire::Evidence;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use mimosastep::wire::RequestId;
use test_case::test_case;

use share_fleet::fleet_state;
use share_fleet::name;

const LINK: LinkId = LinkId(1);
/// When the data centre returned, Unix time in milliseconds.
const RETURNED_MS: u64 = 1_000_000;

/// A service of one host with eight slots, whose data centre has returned.
fn state() -> State {
    let team = Team {
        weight: 1,
        limit: 100,
        urgent: false,
    };
    let mut state = fleet_state(1, 1, 8, &[("t", team)]);
    state.reactivated.insert(name("a"), RETURNED_MS);
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
    State { epoch: 2, ..state }
}

struct Sched {
    now: Instant,
    scheduler: Scheduler,
    out: Vec<Action>,
}

impl Sched {
    /// A scheduler at a wall clock, with a gate and with eight requests that wait.
    fn open(clock: u64) -> Self {
        let mut sched = Self {
            now: Instant::now(),
            scheduler: Scheduler::new(name("s"), 1),
            out: Vec::new(),
        };
        sched.tell(Event::Clock(clock));
        sched.tell(Event::State(Rc::new(state())));
        sched.tell(Event::Fresh(sched.now + Duration::from_secs(3600)));
        let (node, incarnation) = (name("g"), 1);
        sched.tell(Event::Up(LINK, Peer { node, incarnation }));
        assert!(!sched.load().0, "no gate has reported");
        sched.tell(Event::Report {
            link: LINK,
            epoch: 2,
            running: Vec::new(),
        });
        (0..8).for_each(|number| sched.ask(number));
        sched.pass();
        sched
    }

    fn ask(&mut self, number: u128) {
        let request = RequestId(number);
        let ask = Ask {
            attempt: AttemptId { request, number: 1 },
            service: name("s0"),
            team: name("t"),
            urgent: false,
            remaining: 60_000,
            waited: 0,
            avoid: Vec::new(),
        };
        self.tell(Event::Ask(LINK, ask));
    }

    fn tell(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.out);
        self.scheduler.grant(self.now, &mut self.out);
    }

    fn pass(&mut self) {
        for _ in 0..500 {
            self.now += Duration::from_millis(20);
            self.tell(Event::Tick);
        }
    }

    fn granted(&self) -> usize {
        let grant = |action: &&Action| matches!(action, Action::Send(_, Message::Grant(_)));
        self.out.iter().filter(grant).count()
    }

    /// Whether it has heard from all gates, and the slots in use on hosts without new work.
    fn load(&self) -> (bool, u32) {
        let Message::Load {
            whole, services, ..
        } = self.scheduler.load(self.now)
        else {
            panic!("not a load");
        };
        let busy = services.iter().flat_map(|load| &load.busy);
        (whole, busy.map(|busy| busy.used).sum())
    }
}

#[test_case(0, 1; "one slot at first")]
#[test_case(15_000, 4; "half of the slots halfway")]
#[test_case(30_000, 8; "all slots at the end")]
fn a_data_centre_that_returns_is_filled_gradually(since: u64, granted: usize) {
    let mut sched = Sched::open(RETURNED_MS + since);
    assert_eq!(sched.granted(), granted);
    sched.tell(Event::Clock(RETURNED_MS + 30_000));
    sched.pass();
    assert_eq!(sched.granted(), 8);
}

#[test]
fn a_draining_host_is_reported_until_it_is_empty() {
    let mut sched = Sched::open(RETURNED_MS + 30_000);
    let mut state = state();
    for host in state.hosts.values_mut() {
        host.draining = true;
    }
    sched.tell(Event::State(Rc::new(state)));
    for left in (0..8).rev() {
        assert_eq!(sched.load(), (true, left + 1));
        let request = RequestId(left.into());
        sched.tell(Event::Finished {
            link: LINK,
            attempt: AttemptId { request, number: 1 },
            evidence: Evidence::Served,
        });
    }
    assert_eq!(sched.load(), (true, 0));
}
