//! Snapshot records: when they are accepted, and the size limit of a state.

use mimosastep::record::CHECKPOINT_RECORDS;
use mimosastep::record::Change;
use mimosastep::record::MAX_SNAPSHOT_BYTES;
use mimosastep::record::Rejection;
use test_case::test_case;

use crate::support::apply_change;
use crate::support::populated_state;
use crate::support::row;
use crate::support::state_with_members;
use crate::support::table;

#[test]
fn a_snapshot_counts_only_on_the_state_it_shows() {
    let mut state = state_with_members();
    let bytes = state.snapshot();
    apply_change(&mut state, Change::Snapshot(bytes.clone())).unwrap();
    assert_eq!(state.snapshot_offset, state.offset - 1);
    let late = apply_change(&mut state, Change::Snapshot(bytes));
    assert_eq!(late, Err(Rejection::WrongSnapshot));
}

#[test_case(CHECKPOINT_RECORDS, true; "of the last checkpoint")]
#[test_case(CHECKPOINT_RECORDS + 1, false; "of a state since")]
#[test_case(CHECKPOINT_RECORDS - 1, false; "of a state before")]
fn a_snapshot_that_others_overtook_counts(of: u64, counts: bool) {
    let mut state = populated_state();
    let mut bytes = Vec::new();
    for offset in state.offset..CHECKPOINT_RECORDS + 5 {
        if offset == of {
            bytes = state.snapshot();
        }
        apply_change(&mut state, table("x", offset as u32)).unwrap();
    }
    let late = apply_change(&mut state, Change::Snapshot(bytes));
    assert_eq!(late.is_ok(), counts);
    assert_eq!(state.snapshot_offset == state.offset - 1, counts);
}

#[test]
fn a_state_too_large_for_a_snapshot_is_rejected() {
    let mut state = populated_state();
    let rows = |count: usize| (0..count).map(|number| row(&format!("{number:0>64}"), 1));
    let row_bytes = 64 + 4;
    apply_change(
        &mut state,
        Change::Table(rows(MAX_SNAPSHOT_BYTES / row_bytes * 9 / 10).collect()),
    )
    .unwrap();
    let (teams, revision) = (state.teams.clone(), state.revision);
    let large = Change::Table(rows(MAX_SNAPSHOT_BYTES / row_bytes).collect());
    assert_eq!(
        apply_change(&mut state, large),
        Err(Rejection::StateTooLarge)
    );
    assert_eq!((state.teams, state.revision), (teams, revision));
}
