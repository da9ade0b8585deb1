//! Snapshots among the records.

use mimosastep::record::CHECKPOINT_RECORDS;
use mimosastep::record::Change;
use mimosastep::record::MAX_SNAPSHOT_BYTES;
use mimosastep::record::Rejection;
use test_case::test_case;

use crate::support::fleet;
use crate::support::put;
use crate::support::row;
use crate::support::site;
use crate::support::table;

#[test]
fn a_snapshot_counts_only_on_the_state_it_shows() {
    let mut state = fleet();
    let bytes = state.snapshot();
    put(&mut state, Change::Snapshot(bytes.clone())).unwrap();
    assert_eq!(state.snapshot_offset, state.offset - 1);
    let late = put(&mut state, Change::Snapshot(bytes));
    assert_eq!(late, Err(Rejection::WrongSnapshot));
}

#[test_case(CHECKPOINT_RECORDS, true; "of the last checkpoint")]
#[test_case(CHECKPOINT_RECORDS + 1, false; "of a state since")]
#[test_case(CHECKPOINT_RECORDS - 1, false; "of a state before")]
fn a_snapshot_that_others_overtook_counts(of: u64, counts: bool) {
    let mut state = site();
    let mut bytes = Vec::new();
    for offset in state.offset..CHECKPOINT_RECORDS + 5 {
        if offset == of {
            bytes = state.snapshot();
        }
        put(&mut state, table("x", offset as u32)).unwrap();
    }
    let late = put(&mut state, Change::Snapshot(bytes));
    assert_eq!(late.is_ok(), counts);
    assert_eq!(state.snapshot_offset == state.offset - 1, counts);
}

#[test]
fn a_state_too_large_for_a_snapshot_is_rejected() {
    let mut state = site();
    let rows = |count: usize| (0..count).map(|number| row(&format!("{number:0>64}"), 1));
    let each = 64 + 4;
    put(
        &mut state,
        Change::Table(rows(MAX_SNAPSHOT_BYTES / each * 9 / 10).collect()),
    )
    .unwrap();
    let (teams, revision) = (state.teams.clone(), state.revision);
    let large = Change::Table(rows(MAX_SNAPSHOT_BYTES / each).collect());
    assert_eq!(put(&mut state, large), Err(Rejection::StateTooLarge));
    assert_eq!((state.teams, state.revision), (teams, revision));
}
