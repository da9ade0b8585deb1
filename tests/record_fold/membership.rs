//! Membership: joining, suspicion and removal of unresponsive members.

use mimosastep::name::NodeName;
use mimosastep::record::Change;
use mimosastep::record::Rejection;
use mimosastep::record::Role;
use test_case::test_case;

use crate::support::apply_change;
use crate::support::join;
use crate::support::name;
use crate::support::state_with_members;
use crate::support::suspect;

#[test]
fn more_than_half_of_the_fleet_end_a_silent_member() {
    let mut state = state_with_members();
    suspect(&mut state, "g1", "f1").unwrap();
    suspect(&mut state, "g1", "f1").unwrap();
    assert!(
        state.members.contains_key("g1"),
        "one voter of three is no majority"
    );
    let epoch = state.epoch;
    suspect(&mut state, "g1", "f3").unwrap();
    assert!(!state.members.contains_key("g1"));
    assert_eq!(state.epoch, epoch + 1);
    let ended: NodeName = name("g1");
    assert_eq!(
        suspect(&mut state, "g1", "f2"),
        Err(Rejection::Ended(ended))
    );
}

#[test_case("g1", "g1"; "a gate of itself")]
#[test_case("f1", "f1"; "a fleet member of itself")]
#[test_case("f1", "g1"; "a gate of a fleet member")]
#[test_case("f1", "f9"; "a stranger")]
fn only_other_fleet_members_have_a_say(node: &str, by: &str) {
    let mut state = state_with_members();
    assert_eq!(
        suspect(&mut state, node, by),
        Err(Rejection::NotVoter(name(by)))
    );
}

#[test]
fn both_other_fleet_members_end_the_third() {
    let mut state = state_with_members();
    suspect(&mut state, "f1", "f2").unwrap();
    assert!(state.members.contains_key("f1"));
    suspect(&mut state, "f1", "f3").unwrap();
    assert!(!state.members.contains_key("f1"));
}

#[test_case("g1"; "the suspect")]
#[test_case("f1"; "the reporter")]
fn a_suspicion_is_void_when_one_rejoins(rejoins: &str) {
    let mut state = state_with_members();
    suspect(&mut state, "g1", "f1").unwrap();
    let role = state.members[rejoins].role;
    join(&mut state, rejoins, role, 2).unwrap();
    let (node, incarnation) = (name("g1"), state.members["g1"].incarnation);
    let by = name("f2");
    let suspicion = Change::Suspect {
        node,
        incarnation,
        by,
    };
    apply_change(&mut state, suspicion).unwrap();
    assert!(state.members.contains_key("g1"));
}

/// A suspicion that its reporter has retracted must not count towards a majority with a later
/// one, however much time lies between them.
#[test]
fn a_suspicion_is_void_when_its_reporter_takes_it_back() {
    let mut state = state_with_members();
    suspect(&mut state, "g1", "f1").unwrap();
    let (node, by) = (name("g1"), name("f1"));
    let trust = Change::Trust {
        node,
        incarnation: 1,
        by,
    };
    let mut broken = state.clone();
    suspect(&mut broken, "g1", "f2").unwrap();
    assert!(
        !broken.members.contains_key("g1"),
        "an unretracted suspicion counts"
    );
    apply_change(&mut state, trust).unwrap();
    assert!(state.suspicions.is_empty());
    suspect(&mut state, "g1", "f2").unwrap();
    assert!(state.members.contains_key("g1"));
    suspect(&mut state, "g1", "f1").unwrap();
    assert!(!state.members.contains_key("g1"));
}

#[test_case(1, false; "the same")]
#[test_case(0, false; "an older")]
#[test_case(2, true; "a newer")]
fn only_a_newer_incarnation_joins_also_after_an_end(incarnation: u64, is_accepted: bool) {
    let mut state = state_with_members();
    let alive = join(&mut state.clone(), "g1", Role::Gate, incarnation);
    let node = name("g1");
    apply_change(
        &mut state,
        Change::End {
            node,
            incarnation: 1,
        },
    )
    .unwrap();
    let ended = join(&mut state, "g1", Role::Gate, incarnation);
    let refused = || Rejection::OldIncarnation(name("g1"), 1);
    assert_eq!(alive.err(), (!is_accepted).then(refused));
    assert_eq!(ended.err(), (!is_accepted).then(refused));
}
