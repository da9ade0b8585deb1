//! Changes of the state on the time line.

use std::net::SocketAddr;

use mimosastep::name::HostName;
use mimosastep::observe::NoteKind;
use mimosastep::observe::state_notes;
use mimosastep::record::Host;
use mimosastep::record::Member;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::Team;
use test_case::test_case;

fn name<T: TryFrom<String, Error: std::fmt::Debug>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a name")
}

fn addr() -> SocketAddr {
    ([10, 0, 0, 1], 80).into()
}

fn host() -> Host {
    Host {
        dc: name("bangor"),
        rack: name("r1"),
        addr: addr(),
        slots: 8,
        pool: name("captions"),
        home: name("captions"),
        active: true,
        draining: false,
        maintained: 0,
        leaving: false,
        listed: 0,
        upkeep: None,
    }
}

fn state() -> State {
    let mut state = State::default();
    state.hosts.insert(name("h1"), host());
    state.dcs.insert(name("bangor"), true);
    state.teams.insert(
        name("museum"),
        Team {
            weight: 1,
            limit: 2,
            urgent: false,
        },
    );
    let member = Member {
        role: Role::Gate,
        incarnation: 1,
        addr: addr(),
        dc: name("bangor"),
        leaving: false,
    };
    state.members.insert(name("gate-1"), member);
    state
}

fn h1(state: &mut State) -> &mut Host {
    state
        .hosts
        .get_mut(&name::<HostName>("h1"))
        .expect("the host")
}

#[test_case(|_| (), None; "nothing")]
#[test_case(|s| h1(s).active = false, Some((NoteKind::ChangeAccepted, "taken out")); "host out")]
#[test_case(|s| h1(s).draining = true, Some((NoteKind::HostDraining, "drain accepted")); "drain")]
#[test_case(|s| h1(s).pool = name("spare"), Some((NoteKind::HostMoved, "from captions to spare")); "moved")]
#[test_case(|s| s.hosts.clear(), Some((NoteKind::ChangeAccepted, "removed")); "removed")]
#[test_case(|s| { s.dcs.insert(name("bangor"), false); }, Some((NoteKind::ChangeAccepted, "taken out")); "dc out")]
#[test_case(|s| s.teams.clear(), Some((NoteKind::ChangeAccepted, "row removed")); "team gone")]
#[test_case(|s| s.members.clear(), Some((NoteKind::MemberChanged, "ended")); "member ended")]
#[test_case(|s| s.members.values_mut().for_each(|m| m.incarnation = 2),
    Some((NoteKind::MemberChanged, "joined as gate")); "member replaced")]
#[test_case(|s| s.members.values_mut().for_each(|m| m.leaving = true),
    Some((NoteKind::MemberChanged, "leaving")); "member leaving")]
fn each_change_is_told_once(change: fn(&mut State), told: Option<(NoteKind, &str)>) {
    let before = state();
    let mut after = before.clone();
    change(&mut after);
    let notes = state_notes(&before, &after);
    let notes: Vec<_> = notes.iter().map(|n| (n.kind, n.cause.as_str())).collect();
    assert_eq!(notes, Vec::from_iter(told));
}

#[test]
fn large_change_is_told_as_a_number() {
    let mut after = state();
    for i in 0..500 {
        after.hosts.insert(name(&format!("n{i}")), host());
    }
    let notes = state_notes(&state(), &after);
    assert_eq!(notes.len(), 1);
    assert_eq!(notes[0].cause, "500 hosts changed");
}

#[test]
fn keys_are_told_only_as_numbers() {
    let mut after = state();
    let hash = mimosastep::record::KeyHash::of(b"secret");
    after.keys.insert(hash, name("museum"));
    let notes = state_notes(&state(), &after);
    assert_eq!(notes[0].cause, "keys: 0 before, 1 after");
    assert!(!format!("{notes:?}").contains(&hash.to_string()));
}
