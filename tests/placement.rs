//! Keys are placed on members that are not leaving, and move only when their member leaves.

use mimosastep::member::place;
use mimosastep::name::NodeName;
use mimosastep::record::Member;
use mimosastep::record::Role;
use mimosastep::record::State;

fn state(count: u8) -> State {
    let member = |number| Member {
        role: Role::Sched,
        incarnation: 1,
        addr: ([127, 0, 0, number], 1).into(),
        dc: "a".parse().expect("a name"),
        leaving: false,
    };
    let entry = |number| {
        (
            format!("s{number}").parse().expect("a name"),
            member(number),
        )
    };
    State {
        members: (1..=count).map(entry).collect(),
        ..State::default()
    }
}

fn placements(state: &State) -> Vec<Option<NodeName>> {
    (0..1000u32)
        .map(|key| place(state, Role::Sched, &key.to_be_bytes()).cloned())
        .collect()
}

#[test]
fn keys_spread_over_the_members() {
    let state = state(5);
    let placements = placements(&state);
    for name in state.members.keys() {
        let share = placements.iter().flatten().filter(|at| *at == name).count();
        assert!((100..300).contains(&share), "{name}: {share} of 1000");
    }
}

#[test]
fn only_the_keys_of_a_leaving_member_move() {
    let mut state = state(5);
    let before = placements(&state);
    state.members.get_mut("s3").expect("a member").leaving = true;
    for (old, new) in before
        .iter()
        .flatten()
        .zip(placements(&state).iter().flatten())
    {
        assert_ne!(new.as_str(), "s3");
        assert!(old == new || old.as_str() == "s3");
    }
}

#[test]
fn no_member_no_place() {
    assert_eq!(place(&state(0), Role::Sched, b"key"), None);
    assert_eq!(place(&state(3), Role::Gate, b"key"), None);
}
