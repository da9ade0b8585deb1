//! Time of the decisions of a scheduler and of a gate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::gate::Action as GateAction;
use mimosastep::gate::AttemptOutcome;
use mimosastep::gate::Event as GateEvent;
use mimosastep::gate::Gate;
use mimosastep::gate::Submission;
use mimosastep::net::LinkId;
use mimosastep::record::Role;
use mimosastep::sched::Action;
use mimosastep::sched::Event;
use mimosastep::sched::Scheduler;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Grant;
use mimosastep::wire::Message;
use mimosastep::wire::RequestId;
use mimosastep::wire::SlotRequest;

use crate::fit::Slope;
use crate::fleet::SLOTS;
use crate::fleet::Size;
use crate::fleet::host;
use crate::fleet::key;
use crate::fleet::node;
use crate::fleet::service;
use crate::fleet::team;
use crate::micros;

/// Link of the gate that sends all requests.
const LINK: LinkId = LinkId(1);
/// Longer than any measurement, so that no state gets stale and no deadline passes.
const FAR_FUTURE: Duration = Duration::from_secs(3_600);

/// Measures the slopes of decisions, in microseconds.
pub fn slopes() -> Vec<Slope> {
    let one = Size {
        pools: 1,
        hosts: 220,
        ..Size::DESIGN
    };
    vec![
        Slope::measure(
            "scheduler, slot freed and granted, µs",
            "requests waiting",
            &[100, 1_000, 5_000, 20_000, 50_000],
            |queue| cycle(one, queue),
        ),
        Slope::measure(
            "scheduler, slot freed and granted, µs",
            "teams waiting",
            &[10, 33, 65, 130, 260],
            |teams| cycle(Size { teams, ..one }, 2_600),
        ),
        Slope::measure(
            "scheduler, slot freed and granted, µs",
            "hosts of the service",
            &[55, 110, 220, 440, 880],
            |hosts| cycle(Size { hosts, ..one }, 1_000),
        ),
        Slope::measure(
            "scheduler, slot freed and granted, µs",
            "services of the site",
            &[5, 10, 20, 40],
            |pools| {
                cycle(
                    Size {
                        pools,
                        hosts: 220 * pools,
                        ..one
                    },
                    1_000,
                )
            },
        ),
        Slope::measure(
            "scheduler, tick, µs",
            "requests waiting",
            &[100, 1_000, 5_000, 20_000, 50_000],
            |queue| tick(one, queue),
        ),
        Slope::measure(
            "scheduler, newer state taken over, µs",
            "hosts of the site",
            &[550, 1_100, 2_200, 4_400, 8_800],
            |hosts| {
                update(Size {
                    hosts,
                    ..Size::DESIGN
                })
            },
        ),
        Slope::measure(
            "gate, request from submission to answer, µs",
            "requests in progress",
            &[100, 1_000, 5_000, 20_000],
            |pending| gate(Size::DESIGN, pending),
        ),
        Slope::measure(
            "gate, request from submission to answer, µs",
            "entry hosts",
            &[9, 18, 36, 72],
            |entries| {
                gate(
                    Size {
                        entries,
                        ..Size::DESIGN
                    },
                    1_000,
                )
            },
        ),
        Slope::measure(
            "gate, tick, µs",
            "requests in progress",
            &[100, 1_000, 5_000, 20_000],
            gate_tick,
        ),
    ]
}

/// A scheduler of service 0 whose slots are all in use while requests wait in its queue.
pub struct Bench {
    scheduler: Scheduler,
    now: Instant,
    teams: u32,
    next: u32,
    actions: Vec<Action>,
}

impl Bench {
    /// Fills all slots, and the queue with `queue` requests.
    pub fn open(size: Size, queue: u32) -> Self {
        let now = Instant::now();
        let mut state = Size { entries: 0, ..size }.state();
        let member = Size {
            entries: 1,
            ..Size::MIN
        }
        .state()
        .members;
        state.members = member;
        state.members.retain(|_, member| member.role == Role::Sched);
        let mut bench = Self {
            scheduler: Scheduler::new(node(0, Role::Sched), 1),
            now,
            teams: size.teams,
            next: 0,
            actions: Vec::new(),
        };
        bench.handle(Event::State(Rc::new(state)));
        bench.handle(Event::Fresh(now + FAR_FUTURE));
        let slots = size.hosts / size.pools * SLOTS;
        (0..slots + queue).for_each(|_| bench.request_slot());
        bench.scheduler.grant(now, &mut bench.actions);
        assert_eq!(
            bench.actions.len(),
            slots as usize,
            "one grant expected for each slot"
        );
        bench
    }

    fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.actions);
    }

    /// Requests a slot for the next team in turn.
    pub fn request_slot(&mut self) {
        let ask = SlotRequest {
            attempt: attempt(self.next),
            service: service(0),
            team: team(self.next % self.teams),
            urgent: false,
            remaining: 600_000,
            waited: 0,
            avoid: Vec::new(),
        };
        self.next += 1;
        self.handle(Event::SlotRequest(LINK, ask));
    }

    /// Ends a running request, adds one to the queue, and grants the free slot.
    fn finish_and_grant(&mut self) {
        let Some(Action::Send(_, Message::Grant(grant))) = self.actions.pop() else {
            panic!("expected a grant as the last action");
        };
        self.handle(Event::Finished {
            link: LINK,
            attempt: grant.attempt,
            evidence: Evidence::Served,
        });
        self.request_slot();
        self.scheduler.grant(self.now, &mut self.actions);
    }
}

fn cycle(size: Size, queue: u32) -> f64 {
    let mut bench = Bench::open(size, queue);
    micros(|| bench.finish_and_grant())
}

fn tick(size: Size, queue: u32) -> f64 {
    let mut bench = Bench::open(size, queue);
    micros(|| bench.handle(Event::Tick))
}

fn update(size: Size) -> f64 {
    let mut bench = Bench::open(size, 0);
    let mut state = size.state();
    state
        .members
        .retain(|name, _| *name == node(0, Role::Sched));
    let state = Rc::new(state);
    micros(|| bench.handle(Event::State(Rc::clone(&state))))
}

/// Returns a gate with a link to every scheduler and with `pending` requests in progress.
fn open_gate(size: Size, pending: u32) -> (Gate, Instant, Vec<GateAction>) {
    let now = Instant::now();
    let (mut gate, mut actions) = (Gate::default(), Vec::new());
    gate.handle(now, GateEvent::State(Rc::new(size.state())), &mut actions);
    gate.handle(now, GateEvent::Fresh(now + FAR_FUTURE), &mut actions);
    for i in 0..size.entries {
        let up = GateEvent::Up {
            link: LinkId(u64::from(i)),
            node: node(i, Role::Sched),
            incarnation: 1,
        };
        gate.handle(now, up, &mut actions);
    }
    (0..pending).for_each(|i| start(&mut gate, now, i, &mut actions));
    (gate, now, actions)
}

fn start(gate: &mut Gate, now: Instant, i: u32, actions: &mut Vec<GateAction>) {
    actions.clear();
    let submission = Submission {
        request: attempt(i).request,
        external_id: None,
        service: service(i % 20),
        key: Some(key(i % 130)),
        urgent: false,
        idempotent: true,
        deadline: now + FAR_FUTURE,
    };
    gate.handle(now, GateEvent::Submit(submission), actions);
    let Some(GateAction::Send(link, Message::SlotRequest(ask))) = actions.pop() else {
        panic!("expected a slot request as the last action");
    };
    let grant = Grant {
        attempt: ask.attempt,
        host: host(i % 4_400),
        addr: SocketAddr::from(([10, 0, 0, 1], 7_100)),
    };
    gate.handle(now, GateEvent::Grant(link, grant), actions);
}

fn gate(size: Size, pending: u32) -> f64 {
    let (mut gate, now, mut actions) = open_gate(size, pending);
    let mut next = pending;
    micros(|| {
        start(&mut gate, now, next, &mut actions);
        let outcome = AttemptOutcome::Answered;
        gate.handle(
            now,
            GateEvent::AttemptEnded(attempt(next), outcome),
            &mut actions,
        );
        next += 1;
    })
}

fn gate_tick(pending: u32) -> f64 {
    let (mut gate, now, mut actions) = open_gate(Size::DESIGN, pending);
    micros(|| {
        actions.clear();
        gate.handle(now, GateEvent::Tick, &mut actions);
    })
}

fn attempt(i: u32) -> AttemptId {
    AttemptId {
        request: RequestId(u128::from(i) << 64),
        number: 1,
    }
}
