//! The time line: clock, size limits, merging, and who may collect it.

#[path = "common/certs.rs"]
mod certs;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use certs::Authority;
use compio::time::timeout;
use futures_util::StreamExt;
use mimosastep::name::NodeName;
use mimosastep::name::TeamName;
use mimosastep::net::Events;
use mimosastep::net::Mesh;
use mimosastep::net::NetEvent;
use mimosastep::observe::Counters;
use mimosastep::observe::Entry;
use mimosastep::observe::HlcTimestamp;
use mimosastep::observe::HybridClock;
use mimosastep::observe::NOTE_LIMIT;
use mimosastep::observe::NodeTimeline;
use mimosastep::observe::Note;
use mimosastep::observe::NoteKind;
use mimosastep::observe::Recorder;
use mimosastep::observe::TEXT_LIMIT;
use mimosastep::observe::Timeline;
use mimosastep::record::Role;
use mimosastep::wire::Hello;
use mimosastep::wire::Message;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use slog::Discard;
use slog::Logger;
use slog::o;
use test_case::test_case;

fn node(name: &str) -> NodeName {
    NodeName::new(name).expect("a name")
}

fn note(cause: &str) -> Note {
    Note::new(NoteKind::RequestRefused, cause)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn stamps_follow_messages_whatever_the_wall_clocks_say(
        steps in proptest::collection::vec((0..3_usize, 0..3_usize, 0_u64..50_000), 1..200),
    ) {
        let clocks: [HybridClock; 3] = Default::default();
        for (from, to, now) in steps {
            let sent = clocks[from].tick(now);
            clocks[to].merge(sent, 50_000);
            prop_assert!(clocks[to].tick(now) > sent);
        }
    }
}

#[test_case(60_000, true; "at the bound")]
#[test_case(60_001, false; "beyond the bound")]
fn clock_that_is_far_ahead_moves_nobody(ahead: u64, counts: bool) {
    let clock = HybridClock::default();
    let now = 1_000_000;
    assert_eq!(clock.merge(HlcTimestamp::at(now + ahead), now), counts);
    assert_eq!(clock.tick(now).millis() > now, counts);
}

#[test]
fn time_line_is_bounded_and_counts_what_it_drops() {
    let counters = Arc::new(Counters::default());
    let recorder = Recorder::open(Arc::clone(&counters));
    (0..NOTE_LIMIT + 3).for_each(|i| recorder.record(note(&i.to_string())));
    let entries = recorder.entries(HlcTimestamp::default());
    assert_eq!(entries.len(), NOTE_LIMIT);
    assert_eq!(entries[0].note.cause, "3");
    assert_eq!(counters.dropped_notes.load(Relaxed), 3);
    assert_eq!(recorder.entries(entries[10].stamp), entries[10..]);
}

#[test]
fn texts_that_callers_choose_are_cut() {
    let recorder = Recorder::default();
    recorder.record(note(&"ŵ".repeat(1_000)).request("x".repeat(10_000)));
    let entry = &recorder.entries(HlcTimestamp::default())[0];
    assert!(entry.note.cause.len() <= TEXT_LIMIT);
    assert_eq!(
        entry.note.request.as_ref().map(String::len),
        Some(TEXT_LIMIT)
    );
}

#[test]
fn shares_merge_in_the_order_of_their_stamps() {
    let share = |times: &[u64]| NodeTimeline {
        entries: times
            .iter()
            .map(|&at| Entry {
                stamp: HlcTimestamp::at(at),
                note: note(""),
            })
            .collect(),
        dropped: times.len() as u64 - 2,
    };
    let shares = BTreeMap::from([(node("a"), share(&[1, 4, 9])), (node("b"), share(&[2, 4]))]);
    let timeline = Timeline::merge(shares, vec![node("c")]);
    let order: Vec<_> = timeline
        .events
        .iter()
        .map(|e| (e.at, e.by.as_str()))
        .collect();
    assert_eq!(order, [(1, "a"), (2, "b"), (4, "a"), (4, "b"), (9, "a")]);
    assert_eq!(timeline.dropped, BTreeMap::from([(node("a"), 1)]));
    assert_eq!(timeline.missing, [node("c")]);
}

async fn bind(authority: &Authority, name: &str, role: Role) -> (Mesh, Events) {
    let hello = Hello {
        node: node(name),
        incarnation: 1,
        role,
    };
    let addr = ([127, 0, 0, 1], 0).into();
    let log = Logger::root(Discard, o!());
    let mesh = Mesh::bind(addr, authority.identity(name), hello, log);
    let mesh = mesh.await.expect("a mesh");
    let events = mesh.take_events().expect("events");
    (mesh, events)
}

async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), work)
        .await
        .expect("in time")
}

#[compio::test]
async fn fleet_process_gathers_the_notes_of_all_in_order() {
    let authority = Authority::new();
    let (fleet, mut events) = bind(&authority, "fleet", Role::Fleet).await;
    let (gate, mut gate_events) = bind(&authority, "gate", Role::Gate).await;
    let team = TeamName::new("museum").expect("a name");
    // The gate's clock is 30 s ahead; a later note of the fleet process still sorts after it.
    gate.recorder().merge(HlcTimestamp::at(
        mimosastep::observe::unix_millis() + 30_000,
    ));
    gate.recorder().record(note("first").team(&team));
    gate.dial("fleet", vec![fleet.local_addr()]);
    let Some(NetEvent::Up { link }) = with_timeout(gate_events.dispatch.next()).await else {
        panic!("expected an up event");
    };
    link.send(Message::Probe {
        nonce: 1,
        offset: 0,
    });
    with_timeout(events.dispatch.next()).await.expect("up");
    let mut state = events.state.skip_while(|event| {
        let up = matches!(event, NetEvent::Up { .. });
        std::future::ready(up)
    });
    let probe = with_timeout(state.next());
    assert!(matches!(probe.await, Some(NetEvent::Message { .. })));
    fleet.recorder().record(note("second"));
    let timeline = with_timeout(fleet.timeline()(HlcTimestamp::default())).await;
    let causes: Vec<_> = timeline
        .events
        .iter()
        .map(|e| e.note.cause.as_str())
        .collect();
    assert_eq!(causes, ["first", "second"]);
    assert_eq!(timeline.events[0].note.team, Some(team));
    assert!(timeline.missing.is_empty());
    // A fleet process does not send its notes to a gate.
    let asked = with_timeout(gate.timeline()(HlcTimestamp::default())).await;
    assert_eq!(asked.events.len(), 1);
    assert_eq!(asked.missing, [node("fleet")]);
}
