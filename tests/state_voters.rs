//! The voters are fixed by the settings; membership changes do not affect them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mimosastep::member::Replica;
use mimosastep::member::Voters;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::Member;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Role;
use mimosastep::wire::Hello;
use test_case::test_case;

fn addr(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 1).into()
}

fn hello(node: &str, role: Role) -> Hello {
    let node = node.parse().expect("a name");
    Hello {
        node,
        incarnation: 1,
        role,
    }
}

fn encode(offset: u64, change: Change) -> (u64, Vec<u8>) {
    let author = Author::Operator("test".to_owned());
    let id = RecordId(offset.into());
    (
        offset,
        Record {
            id,
            base: None,
            author,
            at: 0,
            change,
        }
        .encode(),
    )
}

fn join(offset: u64, node: u8) -> (u64, Vec<u8>) {
    let member = Member {
        role: Role::Fleet,
        incarnation: 1,
        addr: addr(node),
        dc: "a".parse().expect("a name"),
        leaving: false,
    };
    let node = format!("f{node}").parse().expect("a name");
    encode(offset, Change::Join { node, member })
}

fn end(offset: u64, node: u8) -> (u64, Vec<u8>) {
    let node = format!("f{node}").parse().expect("a name");
    encode(
        offset,
        Change::End {
            node,
            incarnation: 1,
        },
    )
}

fn fleet_hello(number: u8, incarnation: u64) -> Hello {
    let hello = hello(&format!("f{number}"), Role::Fleet);
    Hello {
        incarnation,
        ..hello
    }
}

fn voters(own: Option<u8>) -> Voters {
    Voters::new((1..=3).map(addr), own.map(addr))
}

/// A gate and the old fleet f1 to f3 are partitioned from the rest; meanwhile f4 to f6 replace
/// the old fleet and apply a change. If the voters followed the membership, the change would be
/// in force while the gate is fresh without it.
#[test]
fn a_chain_of_membership_changes_does_not_split_the_vote() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    let mut gate = Replica::new(start, hello("g", Role::Gate), voters(None));
    gate.apply(start, (1..=3).map(|node| join(u64::from(node) - 1, node)));
    let mut writer = Replica::new(start, hello("f4", Role::Fleet), voters(Some(4)));
    let members = Voters::new((4..=6).map(addr), Some(addr(4)));
    let mut broken = Replica::new(start, hello("f4", Role::Fleet), members);
    for writer in [&mut writer, &mut broken] {
        apply_takeover(writer, start, later);
    }
    observe_replies(&mut gate, later, &[1, 2], 3);
    assert!(gate.fresh_until() > Some(later), "the gate is fresh");
    assert_eq!(writer.holders(9), None, "the change is not in force");
    assert!(
        broken.holders(9).is_some(),
        "with the members as voters it would be in force"
    );
}

/// Applies the membership changes that replace f1 to f3 by f4 to f6, then a change that f5 and f6
/// report as applied.
fn apply_takeover(writer: &mut Replica, start: Instant, later: Instant) {
    writer.apply(start, (1..=6).map(|node| join(u64::from(node) - 1, node)));
    writer.apply(start, (1..=3).map(|node| end(u64::from(node) + 5, node)));
    writer.apply(start, [encode(9, Change::Table(Vec::new()))]);
    writer.observe_head(later, later, 10);
    observe_replies(writer, later, &[5, 6], 10);
}

fn observe_replies(replica: &mut Replica, now: Instant, by: &[u8], offset: u64) {
    for number in by {
        observe_reply(replica, now, &fleet_hello(*number, 1), offset);
    }
}

/// Observes a reply of fleet process `peer` to a probe sent at `now`.
fn observe_reply(replica: &mut Replica, now: Instant, peer: &Hello, offset: u64) {
    let number = peer.node.as_str()[1..].parse().expect("a number");
    replica.observe_probe_reply(now, (peer, Some(addr(number))), now, offset, None);
}

/// A process that has applied the first `offset` records.
fn replica_at(start: Instant, me: Hello, own: Option<u8>, offset: u64) -> Replica {
    let mut replica = Replica::new(start, me, voters(own));
    replica.apply(
        start,
        (0..offset).map(|at| encode(at, Change::Table(Vec::new()))),
    );
    replica
}

/// The log is down, f1 and f2 have applied a change that f3 lacks, and f1 restarts. If f1 replied
/// to probes before it has the change again, f1 and f3 would make a gate fresh without it.
#[test]
fn a_restarted_voter_first_learns_what_it_had_vouched_for() {
    let start = Instant::now();
    let mut restarted = replica_at(start, fleet_hello(1, 2), Some(1), 3);
    observe_reply(&mut restarted, start, &fleet_hello(3, 1), 3);
    let mut gate = replica_at(start, hello("g", Role::Gate), None, 3);
    observe_reply(&mut gate, start, &fleet_hello(3, 1), 3);
    assert_eq!(restarted.probe_reply(start, 1), None);
    assert_eq!(gate.fresh_until(), None);
    let mut broken = gate.clone();
    observe_reply(&mut broken, start, &fleet_hello(1, 2), 3);
    assert!(
        broken.fresh_until().is_some(),
        "a reply of the restarted voter would hide the change"
    );
    observe_reply(&mut restarted, start, &fleet_hello(2, 1), 4);
    assert_eq!(
        restarted.probe_reply(start, 1),
        None,
        "a peer has applied a record that it lacks"
    );
    restarted.apply(start, [encode(3, Change::Table(Vec::new()))]);
    assert!(restarted.probe_reply(start, 1).is_some());
}

/// f1 confirms a change and restarts; f2 receives the change only afterwards. The confirmation of
/// the earlier incarnation must not count, since the restarted f1 no longer has the change.
#[test]
fn a_word_given_before_a_restart_does_not_put_a_change_in_force() {
    let start = Instant::now();
    let mut writer = replica_at(start, hello("g1", Role::Gate), None, 4);
    observe_reply(&mut writer, start, &fleet_hello(1, 1), 4);
    let mut restarted = replica_at(start, fleet_hello(1, 2), Some(1), 3);
    observe_replies(&mut restarted, start, &[2, 3], 3);
    assert!(restarted.probe_reply(start, 1).is_some());
    observe_reply(&mut writer, start, &fleet_hello(2, 1), 4);
    let mut gate = replica_at(start, hello("g2", Role::Gate), None, 3);
    observe_reply(&mut gate, start, &fleet_hello(1, 2), 3);
    observe_reply(&mut gate, start, &fleet_hello(3, 1), 3);
    assert!(
        gate.fresh_until().is_some(),
        "the gate is fresh without the change"
    );
    let holders = writer
        .holders(3)
        .expect("a majority has reported the change as applied");
    let since = start + Duration::from_millis(1);
    observe_reply(&mut writer, since, &fleet_hello(1, 2), 3);
    observe_reply(&mut writer, since, &fleet_hello(2, 1), 4);
    assert!(!writer.has_confirmed(&holders, since));
    observe_reply(&mut writer, since, &fleet_hello(3, 1), 4);
    let holders = writer
        .holders(3)
        .expect("f2 and f3 have applied the change");
    assert!(!writer.has_confirmed(&holders, since + Duration::from_millis(1)));
    assert!(writer.has_confirmed(&holders, since));
}

#[test_case(&[1, 2, 3], &[1, 2, 3, 4], true; "one is added to three")]
#[test_case(&[1, 2, 3, 4], &[1, 2, 3], true; "one is removed from four")]
#[test_case(&[1, 2, 3, 4, 5, 6, 7, 8, 9], &[1, 2, 3, 4, 5, 6, 7, 8], true; "one is removed from nine")]
#[test_case(&[1, 2, 3], &[1, 2, 4], false; "one is replaced")]
#[test_case(&[1, 2, 3], &[1, 2, 3, 4, 5], false; "two are added")]
fn majorities_meet_across_one_change(before: &[u8], after: &[u8], meet: bool) {
    let sets = [before, after].map(|set| Voters::new(set.iter().copied().map(addr), None));
    let all = before.iter().chain(after).collect::<BTreeSet<_>>().len();
    let majorities: usize = sets.iter().map(Voters::majority).sum();
    assert_eq!(majorities > all, meet);
}
