//! Properties of applying records: every replica reaches the same state, whether it starts from
//! the first record or from a snapshot.

use mimosastep::record::Change;
use mimosastep::record::KeyHash;
use mimosastep::record::Outcome;
use mimosastep::record::Record;
use mimosastep::record::Role;
use mimosastep::record::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::support::host;
use crate::support::member;
use crate::support::move_host;
use crate::support::name;
use crate::support::pool;
use crate::support::populated_state;
use crate::support::record;
use crate::support::table;

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    }
}

fn any_change() -> impl Strategy<Value = Change> {
    let host_name = (0..5u8).prop_map(|number| name(&format!("h{number}")));
    let node = prop::sample::select(vec!["f1", "f2", "f3", "g1"]);
    let of_pool = prop::sample::select(vec!["p", "q", "z"]);
    let team = prop::sample::select(vec!["x", "y", "z"]);
    let hash = (0..3u8).prop_map(|key| KeyHash::of(&[key]));
    prop_oneof![
        (team.clone(), 0..3u32).prop_map(|(team, weight)| table(team, weight)),
        (of_pool.clone(), 0..3u32).prop_map(|(at, budget)| Change::Pools(vec![pool(at, budget)])),
        (0..5u8, of_pool.clone()).prop_map(|(number, at)| Change::Hosts(vec![host(number, at)])),
        host_name.clone().prop_map(Change::RemoveHost),
        (team, hash.clone()).prop_map(|(team, hash)| Change::GrantKey {
            team: name(team),
            hash
        }),
        hash.prop_map(|hash| Change::WithdrawKey { hash }),
        (host_name.clone(), any::<bool>())
            .prop_map(|(host, active)| Change::MarkHost { host, active }),
        any::<bool>().prop_map(|active| Change::MarkDc {
            dc: name("a"),
            active
        }),
        host_name.clone().prop_map(Change::Drain),
        (host_name, any::<Option<u64>>())
            .prop_map(|(host, maintained)| Change::Undrain { host, maintained }),
        (of_pool.clone(), of_pool).prop_map(|(from, to)| move_host(from, to)),
        (node.clone(), 0..4u64).prop_map(|(node, incarnation)| {
            let role = if node == "g1" {
                Role::Gate
            } else {
                Role::Fleet
            };
            let (node, member) = (name(node), member(role, incarnation));
            Change::Join { node, member }
        }),
        (node.clone(), 0..4u64).prop_map(|(node, incarnation)| Change::Leave {
            node: name(node),
            incarnation
        }),
        (node.clone(), 0..4u64, node.clone()).prop_map(|(node, incarnation, by)| {
            let (node, by) = (name(node), name(by));
            Change::Suspect {
                node,
                incarnation,
                by,
            }
        }),
        (node, 0..4u64).prop_map(|(node, incarnation)| Change::End {
            node: name(node),
            incarnation
        }),
    ]
}

fn any_record() -> impl Strategy<Value = Vec<u8>> {
    let valid = (
        0..60u128,
        prop::option::weighted(0.2, 0..8u64),
        any_change(),
    )
        .prop_map(|(id, base, change)| record(id, base, change));
    prop_oneof![9 => valid, 1 => prop::collection::vec(any::<u8>(), 0..20)]
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn decoding_never_panics(data in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Record::decode(&data);
        let _ = State::from_snapshot(0, &data);
        let versioned: Vec<u8> = std::iter::once(1).chain(data.clone()).collect();
        let _ = Record::decode(&versioned);
        let versioned: Vec<u8> = std::iter::once(2).chain(data).collect();
        let _ = State::from_snapshot(0, &versioned);
    }

    #[test]
    fn a_spoilt_record_never_panics(change in any_change(), at in any::<prop::sample::Index>(), byte: u8) {
        let mut data = record(1, Some(1), change);
        let index = at.index(data.len());
        data[index] = byte;
        let _ = State::default().apply(0, &data);
        data.truncate(index);
        prop_assert!(Record::decode(&data).is_err());
    }

    #[test]
    fn a_fold_goes_on_from_a_snapshot(records in prop::collection::vec(any_record(), 0..60), cut: prop::sample::Index) {
        let cut = cut.index(records.len() + 1);
        let mut whole = populated_state();
        let first = whole.offset;
        let mut resumed = None;
        for (offset, data) in (first..).zip(&records) {
            if offset == first + cut as u64 {
                resumed = State::from_snapshot(offset, &whole.snapshot()).ok();
            }
            let outcome = whole.apply(offset, data);
            if let Some(resumed) = resumed.as_mut() {
                prop_assert_eq!(resumed.apply(offset, data), outcome);
            }
        }
        let resumed = resumed.map_or_else(|| State::from_snapshot(whole.offset, &whole.snapshot()), Ok);
        let resumed = resumed.expect("a snapshot decodes");
        prop_assert_eq!(resumed.snapshot(), whole.snapshot());
        prop_assert_eq!(resumed, whole);
    }

    #[test]
    fn a_rejected_record_changes_nothing(records in prop::collection::vec(any_record(), 0..40)) {
        let mut state = populated_state();
        for data in records {
            let before = state.clone();
            let outcome = state.apply(state.offset, &data);
            if !matches!(outcome, Outcome::Accepted { .. }) {
                let (offset, recent) = (state.offset, state.recent.clone());
                prop_assert_eq!(&State { offset, recent, ..before }, &state);
            }
        }
    }
}
