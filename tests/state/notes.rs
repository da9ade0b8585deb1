//! What is folded, and how recent it is, stands on the time line.

use mimosastep::observe::NoteKind;
use mimosastep::record::Change;
use mimosastep::record::Role;

use crate::tiny_fleet::fresh;
use crate::tiny_fleet::join;
use crate::tiny_fleet::process;
use crate::tiny_fleet::record;
use crate::tiny_fleet::table;
use crate::tiny_fleet::until;
use crate::tiny_log::Mode;
use crate::tiny_log::TinyLog;

#[compio::test]
async fn a_time_line_tells_the_changes_and_the_freshness() {
    let log = TinyLog::start();
    let dc = "a".parse().expect("a name");
    let changes = [
        table(1),
        join("g1", Role::Gate),
        Change::MarkDc { dc, active: false },
    ];
    for (id, change) in (1..).zip(changes) {
        log.put(record(id, change).encode());
    }
    let gate = process(&log.url(), "g1", Role::Gate);
    until("fresh", || fresh(&gate)).await;
    log.set(Mode::Down);
    let kinds = || -> Vec<_> {
        let notes = gate.recorder.notes();
        notes.into_iter().map(|(_, note)| note.kind).collect()
    };
    until("stale", || kinds().contains(&NoteKind::FreshnessLost)).await;
    let expected = [
        NoteKind::ChangeAccepted,
        NoteKind::MemberChanged,
        NoteKind::ChangeRejected,
        NoteKind::FreshnessRegained,
        NoteKind::FreshnessLost,
    ];
    assert_eq!(kinds(), expected);
    let notes = gate.recorder.notes();
    assert_eq!(notes[1].1.node, Some("g1".parse().expect("a name")));
    assert_eq!(
        notes[2].1.cause,
        "data centre marked out by test: unknown data centre a"
    );
}
