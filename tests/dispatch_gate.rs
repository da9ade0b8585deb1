//! Decisions of a gate where a fault could lose a request or run it twice.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::gate::Action;
use mimosastep::gate::AttemptOutcome;
use mimosastep::gate::CancelResult;
use mimosastep::gate::Event;
use mimosastep::gate::Failure;
use mimosastep::gate::FailureCode;
use mimosastep::gate::Gate;
use mimosastep::gate::Submission;
use mimosastep::net::LinkId;
use mimosastep::record::Host;
use mimosastep::record::Member;
use mimosastep::record::Pool;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::Team;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Grant;
use mimosastep::wire::Message;
use mimosastep::wire::Refusal;
use mimosastep::wire::RefusalCode;
use mimosastep::wire::RequestId;
use mimosastep::wire::Verdict;

const LINK: LinkId = LinkId(1);
const REQUEST: RequestId = RequestId(1);

fn state() -> State {
    let name = || "public".parse().expect("a name");
    let mut state = State::default();
    let team = Team {
        weight: 1,
        limit: 9,
        urgent: false,
    };
    state.teams.insert(name(), team);
    state.dcs.insert("d".parse().expect("a name"), true);
    let pool = Pool {
        service: Some("s".parse().expect("a name")),
        open: true,
        teams: BTreeSet::new(),
        budget: 1,
    };
    state.pools.insert("p".parse().expect("a name"), pool);
    let host = Host {
        dc: "d".parse().expect("a name"),
        rack: "r".parse().expect("a name"),
        addr: ([127, 0, 0, 1], 80).into(),
        slots: 1,
        pool: "p".parse().expect("a name"),
        home: "p".parse().expect("a name"),
        active: true,
        draining: false,
        maintained: 0,
        leaving: false,
        listed: 0,
        upkeep: None,
    };
    for name in ["h1", "h2"] {
        state
            .hosts
            .insert(name.parse().expect("a name"), host.clone());
    }
    let member = Member {
        role: Role::Sched,
        incarnation: 1,
        addr: host.addr,
        dc: host.dc,
        leaving: false,
    };
    state.members.insert("q".parse().expect("a name"), member);
    state
}

struct Harness {
    gate: Gate,
    now: Instant,
}

impl Harness {
    /// Returns a gate with one request, which has asked the scheduler for a slot.
    fn new(idempotent: bool) -> Self {
        let mut harness = Self {
            gate: Gate::default(),
            now: Instant::now(),
        };
        let node = "q".parse().expect("a name");
        harness.handle(Event::State(Rc::new(state())));
        harness.handle(Event::Fresh(harness.now + Duration::from_secs(60)));
        harness.handle(Event::Up {
            link: LINK,
            node,
            incarnation: 1,
        });
        let actions = harness.submit(REQUEST, idempotent);
        assert!(matches!(
            actions[..],
            [Action::Send(_, Message::SlotRequest(_))]
        ));
        harness
    }

    fn submit(&mut self, request: RequestId, idempotent: bool) -> Vec<Action> {
        self.handle(Event::Submit(Submission {
            request,
            external_id: Some("invoice-1".into()),
            service: "s".parse().expect("a name"),
            key: None,
            urgent: false,
            idempotent,
            deadline: self.now + Duration::from_secs(30),
        }))
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gate.handle(self.now, event, &mut out);
        out.retain(|action| !matches!(action, Action::Note(_)));
        out
    }

    fn tick(&mut self, millis: u64) -> Vec<Action> {
        self.now += Duration::from_millis(millis);
        self.handle(Event::Tick)
    }

    fn grant(&mut self, number: u32) -> Vec<Action> {
        self.handle(Event::Grant(
            LINK,
            Grant {
                attempt: attempt(number),
                host: format!("h{number}").parse().expect("a name"),
                addr: ([127, 0, 0, 1], 80).into(),
            },
        ))
    }

    fn refuse(&mut self, number: u32, code: RefusalCode) -> Vec<Action> {
        let refusal = Refusal {
            attempt: attempt(number),
            code,
            retry_after: 700,
        };
        self.handle(Event::Refuse(LINK, refusal))
    }
}

const fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: REQUEST,
        number,
    }
}

fn has_ask(actions: &[Action], number: u32) -> bool {
    let is_ask = |action: &Action| match action {
        Action::Send(_, Message::SlotRequest(ask)) => ask.attempt == attempt(number),
        _ => false,
    };
    actions.iter().any(is_ask)
}

fn find_failure(actions: &[Action]) -> Option<Failure> {
    actions.iter().find_map(|action| match action {
        Action::Fail(_, failure) => Some(*failure),
        _ => None,
    })
}

#[test]
fn the_scheduler_in_charge_is_asked_again_after_it_could_not_say() {
    let mut harness = Harness::new(false);
    assert_eq!(harness.refuse(1, RefusalCode::Unavailable), []);
    assert!(has_ask(&harness.tick(100), 2));
}

#[test]
fn a_question_without_an_answer_is_repeated() {
    let mut harness = Harness::new(false);
    assert!(has_ask(&harness.tick(2_000), 1));
}

#[test]
fn a_grant_for_a_host_taken_out_is_given_back_and_the_request_goes_on() {
    let mut harness = Harness::new(false);
    let mut state = state();
    state.dcs.insert("d".parse().expect("a name"), false);
    harness.handle(Event::State(Rc::new(state)));
    let actions = harness.grant(1);
    assert!(
        matches!(actions[..], [Action::Send(_, Message::Finished { .. })]),
        "{actions:?}"
    );
    assert!(has_ask(&harness.tick(100), 2));
}

#[test]
fn a_repeated_grant_neither_frees_the_slot_nor_starts_again() {
    let mut harness = Harness::new(false);
    assert!(matches!(harness.grant(1)[..], [Action::Run { .. }]));
    assert_eq!(harness.grant(1), []);
    harness.handle(Event::CallerGone(REQUEST));
    assert_eq!(harness.grant(1), []);
}

#[test]
fn a_refusal_after_an_unknown_attempt_is_not_told_as_not_run() {
    let mut harness = Harness::new(true);
    harness.grant(1);
    harness.handle(Event::AttemptEnded(attempt(1), AttemptOutcome::Unknown));
    assert!(has_ask(
        &harness.handle(Event::CancelResult(attempt(1), CancelResult::Stopped)),
        2
    ));
    let failure = find_failure(&harness.refuse(2, RefusalCode::Overloaded)).expect("a failure");
    assert_eq!(failure.verdict, Verdict::Unknown);
}

#[test_case::test_case(false, CancelResult::Refused, None; "surely not run, so again")]
#[test_case::test_case(true, CancelResult::Stopped, None; "idempotent, so again")]
#[test_case::test_case(false, CancelResult::Stopped, Some(Verdict::Unknown); "may have run")]
#[test_case::test_case(false, CancelResult::Unreachable, Some(Verdict::Unknown); "no word")]
fn a_broken_attempt_is_settled_first(
    idempotent: bool,
    result: CancelResult,
    verdict: Option<Verdict>,
) {
    let mut harness = Harness::new(idempotent);
    harness.grant(1);
    let out = harness.handle(Event::AttemptEnded(attempt(1), AttemptOutcome::Unknown));
    assert!(matches!(out[..], [Action::Cancel(..)]), "{out:?}");
    let out = harness.handle(Event::CancelResult(attempt(1), result));
    let is_slot_freed = out
        .iter()
        .any(|action| matches!(action, Action::Send(_, Message::Finished { .. })));
    assert_eq!(is_slot_freed, result != CancelResult::Unreachable);
    assert_eq!(find_failure(&out).map(|failure| failure.verdict), verdict);
    assert_eq!(has_ask(&out, 2), verdict.is_none());
}

#[test]
fn a_silent_connection_is_given_up_once_the_attempt_is_surely_refused() {
    let mut harness = Harness::new(false);
    harness.grant(1);
    assert_eq!(harness.handle(Event::UnknownAttempts(vec![attempt(1)])), []);
    harness.tick(1_000);
    let out = harness.handle(Event::UnknownAttempts(vec![attempt(1)]));
    assert!(matches!(out[..], [Action::Cancel(..)]), "{out:?}");
    let out = harness.handle(Event::CancelResult(attempt(1), CancelResult::Refused));
    assert!(
        matches!(out[0], Action::AbortExchange(..)) && has_ask(&out, 2),
        "{out:?}"
    );
}

#[test]
fn a_deadline_during_an_attempt_cancels_it_and_keeps_its_slot_until_it_is_over() {
    let mut harness = Harness::new(false);
    harness.grant(1);
    harness.handle(Event::Fresh(harness.now + Duration::from_secs(600)));
    let out = harness.tick(30_000);
    let failure = find_failure(&out).expect("a failure");
    assert_eq!(
        (failure.code, failure.verdict),
        (FailureCode::DeadlinePassed, Verdict::Unknown)
    );
    assert!(matches!(out[1..], [Action::Cancel(..)]), "{out:?}");
    let out = harness.tick(6_000);
    let evidence = Evidence::Unreachable;
    let attempt = attempt(1);
    let finished = Action::Send(LINK, Message::Finished { attempt, evidence });
    assert!(out.contains(&finished), "{out:?}");
}

#[test]
fn a_service_error_is_held_back_while_an_idempotent_request_is_tried_again() {
    let mut harness = Harness::new(true);
    harness.grant(1);
    assert!(has_ask(
        &harness.handle(Event::AttemptEnded(attempt(1), AttemptOutcome::Failed)),
        2
    ));
    assert_eq!(
        harness.refuse(2, RefusalCode::Overloaded),
        [Action::Relay(REQUEST)]
    );
}

#[test]
fn a_job_that_fails_everywhere_ends_at_once() {
    let mut harness = Harness::new(true);
    harness.grant(1);
    harness.handle(Event::AttemptEnded(attempt(1), AttemptOutcome::Failed));
    let failure = find_failure(&harness.refuse(2, RefusalCode::JobFailing)).expect("a failure");
    assert_eq!(
        (failure.code.as_str(), failure.verdict),
        ("job-failing", Verdict::Ran)
    );
}

#[test]
fn a_repeat_of_an_identity_in_progress_is_turned_away() {
    let mut harness = Harness::new(false);
    let failure = find_failure(&harness.submit(RequestId(2), false)).expect("a failure");
    assert_eq!(
        (failure.code.as_str(), failure.verdict),
        ("in-progress", Verdict::Unknown)
    );
    harness.handle(Event::CallerGone(REQUEST));
    assert!(find_failure(&harness.submit(RequestId(2), false)).is_none());
}
