//! Who vouches for the state is fixed by the settings, whatever the membership says.

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

fn voters(own: Option<u8>) -> Voters {
    Voters::new((1..=3).map(addr), own.map(addr))
}

/// A gate and the old fleet f1 to f3 are cut off; meanwhile f4 to f6 take over and take a change.
#[test]
fn a_chain_of_membership_changes_does_not_split_the_vote() {
    let start = Instant::now();
    let mut gate = Replica::new(start, hello("g", Role::Gate), voters(None));
    gate.fold(start, (1..=3).map(|node| join(u64::from(node) - 1, node)));
    let mut writer = Replica::new(start, hello("f4", Role::Fleet), voters(Some(4)));
    writer.fold(start, (1..=6).map(|node| join(u64::from(node) - 1, node)));
    writer.fold(start, (1..=3).map(|node| end(u64::from(node) + 5, node)));
    writer.fold(start, [encode(9, Change::Table(Vec::new()))]);
    let later = start + Duration::from_secs(60);
    writer.head(later, later, 10);
    vouch(&mut writer, later, &[5, 6], 10);
    vouch(&mut gate, later, &[1, 2], 3);
    assert!(gate.until() > Some(later), "the gate is fresh");
    assert_eq!(writer.holders(9), None, "and the change is not in force");
}

fn vouch(replica: &mut Replica, now: Instant, by: &[u8], offset: u64) {
    for number in by {
        let peer = hello(&format!("f{number}"), Role::Fleet);
        replica.vouched(now, (&peer, Some(addr(*number))), now, offset, None);
    }
}
