//! How a scheduler supports maintenance: it loads a data centre gradually after its return, and
//! reports the load of draining hosts.

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
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use mimosastep::wire::RequestId;
use mimosastep::wire::SlotRequest;
use test_case::test_case;

use share_fleet::fleet_state;
use share_fleet::name;

const LINK: LinkId = LinkId(1);
/// When the data centre returned to service, as Unix time in milliseconds.
const RETURNED_MS: u64 = 1_000_000;

/// Returns a state with a service of one host with eight slots, whose data centre has returned to
/// service.
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

struct Harness {
    now: Instant,
    scheduler: Scheduler,
    out: Vec<Action>,
}

impl Harness {
    /// Returns a scheduler with a gate and eight waiting requests, whose wall clock shows `clock`
    /// Unix milliseconds.
    fn new(clock: u64) -> Self {
        let mut harness = Self {
            now: Instant::now(),
            scheduler: Scheduler::new(name("s"), 1),
            out: Vec::new(),
        };
        harness.handle(Event::Clock(clock));
        harness.handle(Event::State(Rc::new(state())));
        harness.handle(Event::Fresh(harness.now + Duration::from_secs(3600)));
        let (node, incarnation) = (name("g"), 1);
        harness.handle(Event::Up(LINK, Peer { node, incarnation }));
        assert!(!harness.load().0, "no gate has reported");
        harness.handle(Event::Report {
            link: LINK,
            epoch: 2,
            running: Vec::new(),
        });
        (0..8).for_each(|number| harness.ask(number));
        harness.advance();
        harness
    }

    fn ask(&mut self, number: u128) {
        let request = RequestId(number);
        let ask = SlotRequest {
            attempt: AttemptId { request, number: 1 },
            service: name("s0"),
            team: name("t"),
            urgent: false,
            remaining: 60_000,
            waited: 0,
            avoid: Vec::new(),
        };
        self.handle(Event::SlotRequest(LINK, ask));
    }

    fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.out);
        self.scheduler.grant(self.now, &mut self.out);
    }

    fn advance(&mut self) {
        for _ in 0..500 {
            self.now += Duration::from_millis(20);
            self.handle(Event::Tick);
        }
    }

    fn grants(&self) -> usize {
        let is_grant = |action: &&Action| matches!(action, Action::Send(_, Message::Grant(_)));
        self.out.iter().filter(is_grant).count()
    }

    /// Returns whether all gates have reported, and the slots in use on hosts that get no new
    /// tasks.
    fn load(&self) -> (bool, u32) {
        let Message::ServiceLoad {
            complete, services, ..
        } = self.scheduler.load(self.now)
        else {
            panic!("not a load");
        };
        let busy_hosts = services.iter().flat_map(|load| &load.busy);
        (complete, busy_hosts.map(|busy| busy.used).sum())
    }
}

#[test_case(0, 1; "one slot at first")]
#[test_case(15_000, 4; "half of the slots halfway")]
#[test_case(30_000, 8; "all slots at the end")]
fn a_data_centre_that_returns_is_filled_gradually(since: u64, granted: usize) {
    let mut harness = Harness::new(RETURNED_MS + since);
    assert_eq!(harness.grants(), granted);
    harness.handle(Event::Clock(RETURNED_MS + 30_000));
    harness.advance();
    assert_eq!(harness.grants(), 8);
}

#[test]
fn a_draining_host_is_reported_until_it_is_empty() {
    let mut harness = Harness::new(RETURNED_MS + 30_000);
    let mut state = state();
    for host in state.hosts.values_mut() {
        host.draining = true;
    }
    harness.handle(Event::State(Rc::new(state)));
    for left in (0..8).rev() {
        assert_eq!(harness.load(), (true, left + 1));
        let request = RequestId(left.into());
        harness.handle(Event::Finished {
            link: LINK,
            attempt: AttemptId { request, number: 1 },
            evidence: Evidence::Served,
        });
    }
    assert_eq!(harness.load(), (true, 0));
}
