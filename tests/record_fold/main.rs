//! Applying records: conflicts between operators, planners and processes resolve
//! deterministically on every replica.

mod membership;
mod properties;
mod snapshots;
mod support;
mod upkeep;

use mimosastep::record::Change;
use mimosastep::record::HostRow;
use mimosastep::record::KeyHash;
use mimosastep::record::MAX_RECENT_IDS;
use mimosastep::record::Outcome;
use mimosastep::record::RecordId;
use mimosastep::record::Rejection;
use mimosastep::record::Role;
use mimosastep::record::State;
use test_case::test_case;

use crate::support::apply_change;
use crate::support::host;
use crate::support::join;
use crate::support::mark_dc_out;
use crate::support::name;
use crate::support::pool;
use crate::support::populated_state;
use crate::support::record;
use crate::support::row;
use crate::support::table;

#[test_case("x", "y")]
#[test_case("y", "x")]
fn of_two_tables_on_one_base_the_first_wins(first: &str, second: &str) {
    let mut state = populated_state();
    let base = Some(state.revision);
    let won = state.apply(3, &record(1, base, table(first, 5)));
    let lost = state.apply(4, &record(2, base, table(second, 7)));
    assert_eq!(won, Outcome::Accepted { revision: 4 });
    assert_eq!(lost, Outcome::Rejected(Rejection::StaleBase(4)));
    let without_base = state.clone().apply(5, &record(3, None, table(second, 7)));
    assert_eq!(
        without_base.result(),
        Ok(5),
        "without a base revision both are accepted"
    );
    assert_eq!(state.teams.keys().collect::<Vec<_>>(), [&name(first)]);
}

#[test]
fn membership_leaves_the_operators_base_alone() {
    let mut state = populated_state();
    let base = Some(state.revision);
    join(&mut state, "g1", Role::Gate, 1).unwrap();
    apply_change(&mut state, Change::Drain(name("h0"))).unwrap();
    let outcome = state.apply(state.offset, &record(1, base, table("x", 5)));
    assert_eq!(outcome, Outcome::Accepted { revision: 4 });
}

#[test]
fn a_repeated_id_changes_nothing_and_tells_the_first_outcome() {
    let mut state = populated_state();
    let data = record(1, Some(3), table("x", 5));
    assert_eq!(state.apply(3, &data).result(), Ok(4));
    apply_change(&mut state, table("x", 6)).unwrap();
    let (offset, first) = (3, Ok(4));
    assert_eq!(state.apply(5, &data), Outcome::Repeated { offset, first });
    assert_eq!(state.teams["x"].weight, 6);
}

#[test]
fn a_repeated_loser_stays_a_loser() {
    let mut state = populated_state();
    let data = record(1, None, Change::Drain(name("h9")));
    let first = Err(Rejection::UnknownHost(name("h9")));
    assert_eq!(state.apply(3, &data).result(), first);
    apply_change(&mut state, Change::Hosts(vec![host(9, "p")])).unwrap();
    let offset = 3;
    assert_eq!(state.apply(5, &data), Outcome::Repeated { offset, first });
    assert!(!state.hosts["h9"].draining);
}

#[test]
fn recent_ids_are_bounded_and_the_oldest_goes_first() {
    let mut state = populated_state();
    for offset in 3..MAX_RECENT_IDS as u64 {
        let _ = state.apply(offset, &record(offset.into(), None, table("x", 1)));
    }
    assert_eq!(state.recent.len(), MAX_RECENT_IDS);
    assert!(state.recent.find(RecordId(1_000_000)).is_some());
    apply_change(&mut state, table("x", 1)).unwrap();
    assert_eq!(state.recent.len(), MAX_RECENT_IDS);
    assert!(state.recent.find(RecordId(1_000_000)).is_none());
    assert!(state.recent.find(RecordId(1_000_001)).is_some());
}

#[test]
fn an_offset_out_of_order_is_not_folded() {
    let mut state = populated_state();
    let before = state.clone();
    for offset in [2, 4] {
        let outcome = state.apply(offset, &record(1, None, table("x", 5)));
        assert_eq!(outcome, Outcome::Rejected(Rejection::OutOfOrder(3)));
    }
    assert_eq!(state, before);
}

#[test_case(Change::Table(vec![row("x", 0)]), Rejection::ZeroWeight(name("x")); "zero weight")]
#[test_case(Change::Table(vec![row("z", 1), row("z", 2)]), Rejection::Duplicate("z".into()); "team twice")]
#[test_case(Change::Pools(vec![pool("z", 1), pool("z", 2)]), Rejection::Duplicate("z".into()); "pool twice")]
#[test_case(Change::Hosts(vec![host(8, "p"), host(9, "z")]), Rejection::UnknownPool(name("z")); "host of no pool")]
#[test_case(Change::Hosts(vec![host(8, "p"), host(0, "q")]), Rejection::WrongPool(name("h0"), name("p")); "pool of a known host")]
#[test_case(Change::Hosts(vec![HostRow { addr: ([10, 0, 0, 1], 80).into(), ..host(8, "q") }]), Rejection::AddressTaken(name("h8")); "two hosts, one server")]
#[test_case(Change::GrantKey { team: name("z"), hash: KeyHash::of(b"k") }, Rejection::UnknownTeam(name("z")); "key of no team")]
#[test_case(Change::WithdrawKey { hash: KeyHash::of(b"k") }, Rejection::UnknownKey; "no such key")]
#[test_case(Change::RemoveHost(name("h0")), Rejection::InService(name("h0")); "host in service")]
#[test_case(mark_dc_out("z"), Rejection::UnknownDc(name("z")); "no such data centre")]
#[test_case(Change::Snapshot(State::default().snapshot()), Rejection::WrongSnapshot; "snapshot of another state")]
fn a_bad_record_is_rejected_as_a_whole(change: Change, expected: Rejection) {
    let mut state = populated_state();
    let before = state.clone();
    assert_eq!(apply_change(&mut state, change), Err(expected));
    let changed = State {
        offset: before.offset,
        recent: before.recent.clone(),
        ..state
    };
    assert_eq!(changed, before);
}

#[test]
fn a_key_acts_until_withdrawn_or_its_team_is_dropped() {
    let mut state = populated_state();
    let (team, hash) = (name("x"), KeyHash::of(b"k"));
    apply_change(&mut state, Change::GrantKey { team, hash }).unwrap();
    assert_eq!(state.team_of(&hash), Some(&name("x")));
    let duplicate = apply_change(
        &mut state,
        Change::GrantKey {
            team: name("y"),
            hash,
        },
    );
    assert_eq!(duplicate, Err(Rejection::KeyTaken(name("x"))));
    apply_change(&mut state, Change::WithdrawKey { hash }).unwrap();
    assert_eq!(state.team_of(&hash), None);
    apply_change(
        &mut state,
        Change::GrantKey {
            team: name("x"),
            hash,
        },
    )
    .unwrap();
    apply_change(&mut state, table("y", 1)).unwrap();
    apply_change(&mut state, table("x", 1)).unwrap();
    assert_eq!(
        state.team_of(&hash),
        None,
        "the keys of a removed team are removed with it"
    );
}
