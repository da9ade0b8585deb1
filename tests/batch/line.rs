//! Records that wait for the log: the store is slow, refuses, or loses answers.

use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::AdaptiveTimeout;
use mimosastep::batch::AppendQueue;
use mimosastep::batch::QueuedRecords;
use mimosastep::log::AppendError;

/// A call whose client waits for three seconds.
fn call(tag: u8, now: Instant) -> QueuedRecords<u8> {
    QueuedRecords {
        tag,
        deadline: Some(now + Duration::from_secs(3)),
        records: vec![vec![tag]],
    }
}

fn decision(tag: u8) -> QueuedRecords<u8> {
    QueuedRecords {
        tag,
        deadline: None,
        records: vec![vec![tag]],
    }
}

fn refused() -> Result<(), AppendError> {
    Err(AppendError::NotAppended("503".to_owned()))
}

fn silent() -> Result<(), AppendError> {
    Err(AppendError::Unknown("no answer".to_owned()))
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The pattern: an append takes as long as many calls need to come in.
#[test]
fn what_comes_while_an_append_is_on_its_way_goes_together() {
    let now = Instant::now();
    let mut line = AppendQueue::new(1);
    line.push(call(1, now));
    assert_eq!(line.next_append(now), Some(vec![vec![1]]));
    for tag in 2..100 {
        line.push(call(tag, now));
    }
    line.push(decision(200));
    assert_eq!(line.complete(&Ok(())), [1]);
    let records = line.next_append(now).expect("records");
    assert_eq!(records.len(), 99);
    assert_eq!(records[0], [200], "the owner's own come first");
    assert_eq!(line.sequence(), 2);
}

/// The pattern: the answer is lost, so that the records may be in the log or come there later.
#[test]
fn an_append_of_unknown_outcome_is_repeated_unchanged_under_its_number() {
    let now = Instant::now();
    let mut line = AppendQueue::new(7);
    line.push(call(1, now));
    line.push(decision(2));
    let first = line.next_append(now);
    assert!(line.complete(&silent()).is_empty());
    line.push(call(3, now));
    assert!(line.complete(&refused()).is_empty());
    let late = now + ms(10_000);
    assert_eq!(line.take_expired(late), [3], "the others may be in the log");
    assert_eq!(line.next_append(late), first);
    assert_eq!(line.sequence(), 7);
    assert_eq!(line.complete(&Ok(())), [2, 1]);
    assert_eq!(line.sequence(), 8);
}

/// The pattern: the store says that it has done nothing, while clients give up.
#[test]
fn an_append_that_was_surely_refused_is_formed_anew_without_calls_that_gave_up() {
    let now = Instant::now();
    let mut line = AppendQueue::new(1);
    line.push(call(1, now));
    line.push(decision(2));
    assert!(line.next_append(now).is_some());
    assert!(line.complete(&refused()).is_empty());
    assert_eq!(line.take_expired(now + ms(3_000)), [1]);
    assert_eq!(line.next_append(now + ms(3_000)), Some(vec![vec![2]]));
    assert_eq!(line.sequence(), 1);
}

/// The pattern: the store takes nothing for seconds.
#[test]
fn calls_behind_a_stalled_append_are_given_up_at_once() {
    let now = Instant::now();
    let mut line = AppendQueue::new(1);
    line.push(decision(1));
    assert!(line.next_append(now).is_some());
    line.push(call(2, now));
    assert!(line.take_expired(now + ms(500)).is_empty());
    assert_eq!(line.take_expired(now + ms(1_000)), [2]);
    line.push(call(3, now + ms(1_000)));
    assert_eq!(line.take_expired(now + ms(1_000)), [3]);
    assert_eq!(line.complete(&Ok(())), [1]);
    line.push(call(4, now + ms(1_100)));
    assert!(
        line.take_expired(now + ms(1_100)).is_empty(),
        "the log goes on"
    );
}

#[test]
fn a_line_that_ends_tells_what_may_be_in_the_log() {
    let now = Instant::now();
    let mut line = AppendQueue::new(1);
    line.push(call(1, now));
    assert!(line.next_append(now).is_some());
    assert!(line.complete(&silent()).is_empty());
    line.push(call(2, now));
    assert!(line.complete(&Err(AppendError::Fenced)).is_empty());
    assert_eq!(line.close(), [(1, true), (2, false)]);
}

/// The pattern: the store turns slow from one call to the next, and loses answers at other times.
#[test]
fn a_lost_answer_is_noticed_soon_and_a_slow_one_is_awaited() {
    let mut time = AdaptiveTimeout::default();
    time.record_answer(ms(5));
    assert!(time.timeout() <= ms(1_000));
    time.record_timeout();
    time.record_timeout();
    assert!(time.timeout() >= ms(2_000), "it may have turned slow");
    time.record_answer(ms(400));
    assert!(time.timeout() >= ms(1_600));
    for _ in 0..60 {
        time.record_answer(ms(5));
    }
    assert!(time.timeout() <= ms(1_000));
}
