//! The fold settles races of operators, planners and processes alike everywhere.

use mimosastep::name::DcName;
use mimosastep::name::NodeName;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::HostRow;
use mimosastep::record::KeyHash;
use mimosastep::record::Member;
use mimosastep::record::Outcome;
use mimosastep::record::PoolRow;
use mimosastep::record::RECENT_IDS;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Reject;
use mimosastep::record::Role;
use mimosastep::record::State;
use mimosastep::record::TeamRow;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn record(id: u128, base: Option<u64>, change: Change) -> Vec<u8> {
    let record = Record {
        id: RecordId(id),
        base,
        author: Author::Operator("test".to_owned()),
        at: 0,
        change,
    };
    record.encode()
}

fn put(state: &mut State, change: Change) -> Result<u64, Reject> {
    let id = 1_000_000 + u128::from(state.offset);
    state
        .apply(state.offset, &record(id, None, change))
        .settled()
}

fn table(team: &str, weight: u32) -> Change {
    Change::Table(vec![row(team, weight)])
}

fn row(team: &str, weight: u32) -> TeamRow {
    TeamRow {
        team: name(team),
        weight,
        limit: 10,
        urgent: false,
    }
}

fn pool(pool: &str, budget: u32) -> PoolRow {
    PoolRow {
        pool: name(pool),
        service: Some(name("jobs")),
        open: false,
        teams: Vec::new(),
        budget,
    }
}

fn host(number: u8, pool: &str) -> HostRow {
    HostRow {
        host: name(&format!("h{number}")),
        dc: name(["a", "b"][usize::from(number % 2)]),
        rack: name("r"),
        addr: ([10, 0, 0, number], 80).into(),
        slots: 2,
        pool: name(pool),
    }
}

fn member(role: Role, incarnation: u64) -> Member {
    Member {
        role,
        incarnation,
        addr: ([127, 0, 0, 1], 1).into(),
        dc: name("a"),
        leaving: false,
    }
}

fn join(state: &mut State, node: &str, role: Role, incarnation: u64) -> Result<u64, Reject> {
    let member = member(role, incarnation);
    put(
        state,
        Change::Join {
            node: name(node),
            member,
        },
    )
}

fn suspect(state: &mut State, node: &str, by: &str) -> Result<u64, Reject> {
    let (node, by) = (name(node), name(by));
    put(
        state,
        Change::Suspect {
            node,
            incarnation: 1,
            by,
        },
    )
}

fn move_host(from: &str, to: &str) -> Change {
    Change::Move {
        host: name("h0"),
        from: name(from),
        to: name(to),
    }
}

/// Teams x and y, pools p, q and r with a budget of 2, hosts h0 to h3 in p.
fn site() -> State {
    let mut state = State::default();
    let rows = vec![row("x", 1), row("y", 2)];
    put(&mut state, Change::Table(rows)).unwrap();
    let pools = ["p", "q", "r"].map(|name| pool(name, 2));
    put(&mut state, Change::Pools(pools.into())).unwrap();
    let hosts = (0..4).map(|number| host(number, "p")).collect();
    put(&mut state, Change::Hosts(hosts)).unwrap();
    state
}

fn fleet() -> State {
    let mut state = site();
    for node in ["f1", "f2", "f3"] {
        join(&mut state, node, Role::Fleet, 1).unwrap();
    }
    join(&mut state, "g1", Role::Gate, 1).unwrap();
    state
}

#[test_case("x", "y")]
#[test_case("y", "x")]
fn of_two_tables_on_one_base_the_first_wins(first: &str, second: &str) {
    let mut state = site();
    let base = Some(state.revision);
    let won = state.apply(3, &record(1, base, table(first, 5)));
    let lost = state.apply(4, &record(2, base, table(second, 7)));
    assert_eq!(won, Outcome::Accepted { revision: 4 });
    assert_eq!(lost, Outcome::Rejected(Reject::StaleBase(4)));
    assert_eq!(state.teams.keys().collect::<Vec<_>>(), [&name(first)]);
}

#[test]
fn membership_leaves_the_operators_base_alone() {
    let mut state = site();
    let base = Some(state.revision);
    join(&mut state, "g1", Role::Gate, 1).unwrap();
    put(&mut state, Change::Drain(name("h0"))).unwrap();
    let outcome = state.apply(state.offset, &record(1, base, table("x", 5)));
    assert_eq!(outcome, Outcome::Accepted { revision: 4 });
}

#[test]
fn a_repeated_id_changes_nothing_and_tells_the_first_outcome() {
    let mut state = site();
    let data = record(1, Some(3), table("x", 5));
    assert_eq!(state.apply(3, &data).settled(), Ok(4));
    put(&mut state, table("x", 6)).unwrap();
    let (offset, first) = (3, Ok(4));
    assert_eq!(state.apply(5, &data), Outcome::Repeated { offset, first });
    assert_eq!(state.teams["x"].weight, 6);
}

#[test]
fn a_repeated_loser_stays_a_loser() {
    let mut state = site();
    let data = record(1, None, Change::Drain(name("h9")));
    let first = Err(Reject::UnknownHost(name("h9")));
    assert_eq!(state.apply(3, &data).settled(), first);
    put(&mut state, Change::Hosts(vec![host(9, "p")])).unwrap();
    let offset = 3;
    assert_eq!(state.apply(5, &data), Outcome::Repeated { offset, first });
    assert!(!state.hosts["h9"].draining);
}

#[test]
fn recent_ids_are_bounded_and_the_oldest_goes_first() {
    let mut state = site();
    for offset in 3..RECENT_IDS as u64 {
        let _ = state.apply(offset, &record(offset.into(), None, table("x", 1)));
    }
    assert_eq!(state.recent.len(), RECENT_IDS);
    assert!(state.recent.find(RecordId(1_000_000)).is_some());
    put(&mut state, table("x", 1)).unwrap();
    assert_eq!(state.recent.len(), RECENT_IDS);
    assert!(state.recent.find(RecordId(1_000_000)).is_none());
    assert!(state.recent.find(RecordId(1_000_001)).is_some());
}

#[test]
fn an_offset_out_of_order_is_not_folded() {
    let mut state = site();
    let before = state.clone();
    for offset in [2, 4] {
        let outcome = state.apply(offset, &record(1, None, table("x", 5)));
        assert_eq!(outcome, Outcome::Rejected(Reject::OutOfOrder(3)));
    }
    assert_eq!(state, before);
}

#[test_case("q", "r")]
#[test_case("r", "q")]
fn of_two_planners_that_move_a_host_the_first_wins(first: &str, second: &str) {
    let mut state = site();
    put(&mut state, Change::Drain(name("h0"))).unwrap();
    put(&mut state, move_host("p", first)).unwrap();
    let lost = put(&mut state, move_host("p", second));
    assert_eq!(lost, Err(Reject::WrongPool(name("h0"), name(first))));
    assert_eq!(state.hosts["h0"].pool, name(first));
    assert!(state.hosts["h0"].draining, "until the drain is ended");
}

#[test_case("p", "q", Reject::NotDraining(name("h0")); "not drained")]
#[test_case("p", "z", Reject::UnknownPool(name("z")); "to no pool")]
#[test_case("q", "r", Reject::WrongPool(name("h0"), name("p")); "from another pool")]
fn a_move_is_rejected(from: &str, to: &str, reject: Reject) {
    let mut state = site();
    assert_eq!(put(&mut state, move_host(from, to)), Err(reject));
}

fn dc_out(dc: &str) -> Change {
    let dc: DcName = name(dc);
    Change::MarkDc { dc, active: false }
}

fn host_out(host: &str) -> Change {
    let host = name(host);
    Change::MarkHost {
        host,
        active: false,
    }
}

#[test_case(&[], true; "none out")]
#[test_case(&[Change::Drain(name("h1"))], true; "one draining")]
#[test_case(&[Change::Drain(name("h1")), Change::Drain(name("h2"))], false; "two draining")]
#[test_case(&[Change::Drain(name("h1")), host_out("h2")], false; "one draining, one lost")]
#[test_case(&[host_out("h1"), host_out("h2")], false; "two lost")]
#[test_case(&[dc_out("b")], false; "a data centre with two")]
fn drains_keep_to_the_budget_losses_included(before: &[Change], taken: bool) {
    let mut state = site();
    for change in before {
        put(&mut state, change.clone()).unwrap();
    }
    let drained = put(&mut state, Change::Drain(name("h0")));
    let refused = Reject::BudgetExceeded(name("p"), 2);
    assert_eq!(drained.err(), (!taken).then_some(refused));
    assert_eq!(state.hosts["h0"].draining, taken);
}

#[test_case(Change::Table(vec![row("x", 0)]), Reject::ZeroWeight(name("x")); "zero weight")]
#[test_case(Change::Table(vec![row("z", 1), row("z", 2)]), Reject::Duplicate("z".into()); "team twice")]
#[test_case(Change::Pools(vec![pool("z", 1), pool("z", 2)]), Reject::Duplicate("z".into()); "pool twice")]
#[test_case(Change::Hosts(vec![host(8, "p"), host(9, "z")]), Reject::UnknownPool(name("z")); "host of no pool")]
#[test_case(Change::Hosts(vec![host(8, "p"), host(0, "q")]), Reject::WrongPool(name("h0"), name("p")); "pool of a known host")]
#[test_case(Change::Hosts(vec![HostRow { addr: ([10, 0, 0, 1], 80).into(), ..host(8, "q") }]), Reject::AddressTaken(name("h8")); "two hosts, one server")]
#[test_case(Change::GrantKey { team: name("z"), hash: KeyHash::of(b"k") }, Reject::UnknownTeam(name("z")); "key of no team")]
#[test_case(Change::WithdrawKey { hash: KeyHash::of(b"k") }, Reject::UnknownKey; "no such key")]
#[test_case(Change::RemoveHost(name("h0")), Reject::InService(name("h0")); "host in service")]
#[test_case(dc_out("z"), Reject::UnknownDc(name("z")); "no such data centre")]
#[test_case(Change::Snapshot(State::default().snapshot()), Reject::WrongSnapshot; "snapshot of another state")]
fn a_bad_record_is_rejected_as_a_whole(change: Change, reject: Reject) {
    let mut state = site();
    let before = state.clone();
    assert_eq!(put(&mut state, change), Err(reject));
    let changed = State {
        offset: before.offset,
        recent: before.recent.clone(),
        ..state
    };
    assert_eq!(changed, before);
}

#[test]
fn a_key_acts_until_withdrawn_or_its_team_is_dropped() {
    let mut state = site();
    let (team, hash) = (name("x"), KeyHash::of(b"k"));
    put(&mut state, Change::GrantKey { team, hash }).unwrap();
    assert_eq!(state.team_of(&hash), Some(&name("x")));
    let taken = put(
        &mut state,
        Change::GrantKey {
            team: name("y"),
            hash,
        },
    );
    assert_eq!(taken, Err(Reject::KeyTaken(name("x"))));
    put(&mut state, Change::WithdrawKey { hash }).unwrap();
    assert_eq!(state.team_of(&hash), None);
    put(
        &mut state,
        Change::GrantKey {
            team: name("x"),
            hash,
        },
    )
    .unwrap();
    put(&mut state, table("y", 1)).unwrap();
    put(&mut state, table("x", 1)).unwrap();
    assert_eq!(state.team_of(&hash), None, "a dropped team loses its keys");
}

#[test]
fn more_than_half_of_the_fleet_end_a_silent_member() {
    let mut state = fleet();
    suspect(&mut state, "g1", "f1").unwrap();
    suspect(&mut state, "g1", "f1").unwrap();
    assert!(state.members.contains_key("g1"), "one voter of three");
    let epoch = state.epoch;
    suspect(&mut state, "g1", "f3").unwrap();
    assert!(!state.members.contains_key("g1"));
    assert_eq!(state.epoch, epoch + 1);
    let ended: NodeName = name("g1");
    assert_eq!(suspect(&mut state, "g1", "f2"), Err(Reject::Ended(ended)));
}

#[test_case("g1", "g1"; "a gate of itself")]
#[test_case("f1", "f1"; "a fleet member of itself")]
#[test_case("f1", "g1"; "a gate of a fleet member")]
#[test_case("f1", "f9"; "a stranger")]
fn only_other_fleet_members_have_a_say(node: &str, by: &str) {
    let mut state = fleet();
    assert_eq!(
        suspect(&mut state, node, by),
        Err(Reject::NotVoter(name(by)))
    );
}

#[test]
fn both_other_fleet_members_end_the_third() {
    let mut state = fleet();
    suspect(&mut state, "f1", "f2").unwrap();
    assert!(state.members.contains_key("f1"));
    suspect(&mut state, "f1", "f3").unwrap();
    assert!(!state.members.contains_key("f1"));
}

#[test_case("g1"; "the suspect")]
#[test_case("f1"; "the reporter")]
fn a_suspicion_is_void_when_one_rejoins(rejoins: &str) {
    let mut state = fleet();
    suspect(&mut state, "g1", "f1").unwrap();
    let role = state.members[rejoins].role;
    join(&mut state, rejoins, role, 2).unwrap();
    let (node, incarnation) = (name("g1"), state.members["g1"].incarnation);
    let by = name("f2");
    let said = Change::Suspect {
        node,
        incarnation,
        by,
    };
    put(&mut state, said).unwrap();
    assert!(state.members.contains_key("g1"));
}

/// Two suspicions that are days apart are no majority if the first was taken back.
#[test]
fn a_suspicion_is_void_when_its_reporter_takes_it_back() {
    let mut state = fleet();
    suspect(&mut state, "g1", "f1").unwrap();
    let (node, by) = (name("g1"), name("f1"));
    let trust = Change::Trust {
        node,
        incarnation: 1,
        by,
    };
    put(&mut state, trust).unwrap();
    assert!(state.suspicions.is_empty());
    suspect(&mut state, "g1", "f2").unwrap();
    assert!(state.members.contains_key("g1"));
    suspect(&mut state, "g1", "f1").unwrap();
    assert!(!state.members.contains_key("g1"));
}

#[test_case(1, false; "the same")]
#[test_case(0, false; "an older")]
#[test_case(2, true; "a newer")]
fn only_a_newer_incarnation_joins_also_after_an_end(incarnation: u64, taken: bool) {
    let mut state = fleet();
    let alive = join(&mut state.clone(), "g1", Role::Gate, incarnation);
    let node = name("g1");
    put(
        &mut state,
        Change::End {
            node,
            incarnation: 1,
        },
    )
    .unwrap();
    let ended = join(&mut state, "g1", Role::Gate, incarnation);
    let refused = || Reject::OldIncarnation(name("g1"), 1);
    assert_eq!(alive.err(), (!taken).then(refused));
    assert_eq!(ended.err(), (!taken).then(refused));
}

#[test]
fn a_snapshot_counts_only_on_the_state_it_shows() {
    let mut state = fleet();
    let bytes = state.snapshot();
    put(&mut state, Change::Snapshot(bytes.clone())).unwrap();
    assert_eq!(state.snapped, state.offset - 1);
    let late = put(&mut state, Change::Snapshot(bytes));
    assert_eq!(late, Err(Reject::WrongSnapshot));
}

fn fixed() -> ProptestConfig {
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
    #![proptest_config(fixed())]

    #[test]
    fn decoding_never_panics(data in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Record::decode(&data);
        let _ = State::from_snapshot(0, &data);
        let versioned: Vec<u8> = std::iter::once(1).chain(data).collect();
        let _ = Record::decode(&versioned);
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
        let mut whole = site();
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
        let resumed = resumed.expect("a snapshot reads back");
        prop_assert_eq!(resumed.snapshot(), whole.snapshot());
        prop_assert_eq!(resumed, whole);
    }

    #[test]
    fn a_rejected_record_changes_nothing(records in prop::collection::vec(any_record(), 0..40)) {
        let mut state = site();
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
