//! Applied records and changes of freshness are noted on the time line.

use mimosastep::observe::NoteKind;
use mimosastep::record::Change;
use mimosastep::record::Role;

use crate::fake_log::FakeLog;
use crate::fake_log::Mode;
use crate::test_fleet::is_fresh;
use crate::test_fleet::join;
use crate::test_fleet::record;
use crate::test_fleet::spawn_process;
use crate::test_fleet::table;
use crate::test_fleet::wait_until;

#[compio::test]
async fn a_time_line_tells_the_changes_and_the_freshness() {
    let log = FakeLog::start();
    let dc = "a".parse().expect("a name");
    let changes = [
        table(1),
        join("g1", Role::Gate),
        Change::MarkDc { dc, active: false },
    ];
    for (id, change) in (1..).zip(changes) {
        log.put(record(id, change).encode());
    }
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    wait_until("fresh", || is_fresh(&gate)).await;
    log.set_mode(Mode::Down);
    let kinds = || -> Vec<_> {
        let notes = gate.recorder.notes();
        notes.into_iter().map(|(_, note)| note.kind).collect()
    };
    wait_until("stale", || kinds().contains(&NoteKind::FreshnessLost)).await;
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
