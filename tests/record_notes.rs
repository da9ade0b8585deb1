//! Each applied record yields one time line note that names its author and its subject.

use std::time::Instant;

use mimosastep::member::Replica;
use mimosastep::member::Voters;
use mimosastep::observe::Note;
use mimosastep::observe::NoteKind;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::HostRow;
use mimosastep::record::KeyHash;
use mimosastep::record::Member;
use mimosastep::record::PoolRow;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Role;
use mimosastep::record::TeamRow;
use mimosastep::wire::Hello;
use test_case::test_case;

fn name<T: TryFrom<String, Error: std::fmt::Debug>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a name")
}

fn pool(text: &str) -> PoolRow {
    PoolRow {
        pool: name(text),
        service: None,
        open: false,
        teams: Vec::new(),
        budget: 1,
    }
}

fn host(text: &str) -> HostRow {
    HostRow {
        host: name(text),
        dc: name("bangor"),
        rack: name("r"),
        addr: ([10, 0, 0, 1], 80).into(),
        slots: 1,
        pool: name("captions"),
    }
}

fn join(incarnation: u64) -> Change {
    let member = Member {
        role: Role::Gate,
        incarnation,
        addr: ([10, 0, 0, 2], 1).into(),
        dc: name("bangor"),
        leaving: false,
    };
    let node = name("gate-1");
    Change::Join { node, member }
}

/// Creates a team, a pool with one host, a spare pool, and a member.
fn setup_changes() -> Vec<Change> {
    let row = TeamRow {
        team: name("museum"),
        weight: 1,
        limit: 1,
        urgent: false,
    };
    vec![
        Change::Table(vec![row]),
        Change::Pools(vec![pool("captions"), pool("spare")]),
        Change::Hosts(vec![host("h1")]),
        join(1),
    ]
}

/// Applies all changes and returns the notes of the last one.
fn notes(changes: Vec<Change>) -> Vec<Note> {
    let hello = Hello {
        node: name("f1"),
        incarnation: 1,
        role: Role::Fleet,
    };
    let now = Instant::now();
    let mut replica = Replica::new(now, hello, Voters::new([], None));
    for (offset, change) in (0..).zip(changes) {
        let record = Record {
            id: RecordId(offset.into()),
            base: None,
            author: Author::Operator("ann".to_owned()),
            at: 1,
            change,
        };
        replica.take_notes();
        replica.apply(now, [(offset, record.encode())]);
    }
    replica.take_notes()
}

#[test_case(Change::MarkHost { host: name("h1"), active: false },
    NoteKind::ChangeAccepted, "host marked out"; "host out")]
#[test_case(Change::Drain(name("h1")), NoteKind::ChangeAccepted, "drain started"; "drain")]
#[test_case(Change::MarkDc { dc: name("bangor"), active: false },
    NoteKind::ChangeAccepted, "data centre marked out"; "data centre out")]
#[test_case(Change::Table(Vec::new()), NoteKind::ChangeAccepted, "table"; "table")]
#[test_case(Change::Hosts(vec![host("h2")]),
    NoteKind::ChangeRejected, "hosts"; "one address for two hosts")]
#[test_case(join(2), NoteKind::MemberChanged, "joined"; "member replaced")]
#[test_case(Change::Leave { node: name("gate-1"), incarnation: 1 },
    NoteKind::MemberChanged, "leaving"; "member leaving")]
#[test_case(Change::End { node: name("gate-1"), incarnation: 1 },
    NoteKind::MemberChanged, "ended"; "member ended")]
#[test_case(Change::MarkHost { host: name("nobody"), active: false },
    NoteKind::ChangeRejected, "host marked out"; "rejected")]
fn each_record_is_told_once(change: Change, kind: NoteKind, verb: &str) {
    let notes = notes([setup_changes(), vec![change]].concat());
    assert_eq!(notes.len(), 1, "{notes:?}");
    assert_eq!(notes[0].kind, kind);
    let start = format!("{verb} by ann: ");
    assert!(notes[0].cause.starts_with(&start), "{notes:?}");
}

#[test]
fn a_rejected_move_and_its_host_are_told() {
    let change = Change::Move {
        host: name("h1"),
        from: name("captions"),
        to: name("spare"),
    };
    let notes = notes([setup_changes(), vec![change]].concat());
    assert_eq!(notes[0].kind, NoteKind::ChangeRejected);
    assert_eq!(notes[0].host, Some(name("h1")));
}

#[test]
fn a_change_of_many_hosts_is_one_note() {
    let rows = (0..500u16).map(|i| HostRow {
        addr: ([10, 1, 0, 1], 1_000 + i).into(),
        ..host(&format!("n{i}"))
    });
    let notes = notes([setup_changes(), vec![Change::Hosts(rows.collect())]].concat());
    assert_eq!(notes.len(), 1);
}

#[test]
fn keys_are_never_told() {
    let hash = KeyHash::of(b"secret");
    let team = name("museum");
    let notes = notes([setup_changes(), vec![Change::GrantKey { team, hash }]].concat());
    assert_eq!(notes[0].team, Some(name("museum")));
    assert!(!format!("{notes:?}").contains(&hash.to_string()));
}
