//! Tests of the append queue with a store that is slow, refuses appends or loses answers.

use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::AdaptiveTimeout;
use mimosastep::batch::AppendQueue;
use mimosastep::batch::QueuedRecords;
use mimosastep::log::AppendError;

/// Records of a client's call, which waits for three seconds.
fn call(tag: u8, now: Instant) -> QueuedRecords<u8> {
    QueuedRecords {
        tag,
        deadline: Some(now + Duration::from_secs(3)),
        records: vec![vec![tag]],
    }
}

/// Records of an owner's decision, which has no deadline.
fn decision(tag: u8) -> QueuedRecords<u8> {
    QueuedRecords {
        tag,
        deadline: None,
        records: vec![vec![tag]],
    }
}

fn not_appended() -> Result<(), AppendError> {
    Err(AppendError::NotAppended("503".to_owned()))
}

fn unknown_outcome() -> Result<(), AppendError> {
    Err(AppendError::Unknown("no answer".to_owned()))
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Many calls arrive while an append is in flight.
#[test]
fn what_comes_while_an_append_is_on_its_way_goes_together() {
    let now = Instant::now();
    let mut queue = AppendQueue::new(1);
    queue.push(call(1, now));
    assert_eq!(queue.next_append(now), Some(vec![vec![1]]));
    for tag in 2..100 {
        queue.push(call(tag, now));
    }
    queue.push(decision(200));
    assert_eq!(queue.complete(&Ok(())), [1]);
    let records = queue.next_append(now).expect("no records to append");
    assert_eq!(records.len(), 99);
    assert_eq!(records[0], [200], "decisions of the owner come first");
    assert_eq!(queue.sequence(), 2);
}

/// The answer to an append is lost: its records may be in the log, or may still arrive there.
#[test]
fn an_append_of_unknown_outcome_is_repeated_unchanged_under_its_number() {
    let now = Instant::now();
    let mut queue = AppendQueue::new(7);
    queue.push(call(1, now));
    queue.push(decision(2));
    let first = queue.next_append(now);
    assert!(queue.complete(&unknown_outcome()).is_empty());
    queue.push(call(3, now));
    assert!(queue.complete(&not_appended()).is_empty());
    let late = now + ms(10_000);
    assert_eq!(
        queue.take_expired(late),
        [3],
        "the other records may be in the log"
    );
    assert_eq!(queue.next_append(late), first);
    assert_eq!(queue.sequence(), 7);
    assert_eq!(queue.complete(&Ok(())), [2, 1]);
    assert_eq!(queue.sequence(), 8);
}

/// The store reports that it appended nothing, and clients time out in the meantime.
#[test]
fn an_append_that_was_surely_refused_is_formed_anew_without_calls_that_gave_up() {
    let now = Instant::now();
    let mut queue = AppendQueue::new(1);
    queue.push(call(1, now));
    queue.push(decision(2));
    assert!(queue.next_append(now).is_some());
    assert!(queue.complete(&not_appended()).is_empty());
    assert_eq!(queue.take_expired(now + ms(3_000)), [1]);
    assert_eq!(queue.next_append(now + ms(3_000)), Some(vec![vec![2]]));
    assert_eq!(queue.sequence(), 1);
}

/// The store accepts no append for seconds.
#[test]
fn calls_behind_a_stalled_append_are_given_up_at_once() {
    let now = Instant::now();
    let mut queue = AppendQueue::new(1);
    queue.push(decision(1));
    assert!(queue.next_append(now).is_some());
    queue.push(call(2, now));
    assert!(queue.take_expired(now + ms(500)).is_empty());
    assert_eq!(queue.take_expired(now + ms(1_000)), [2]);
    queue.push(call(3, now + ms(1_000)));
    assert_eq!(queue.take_expired(now + ms(1_000)), [3]);
    assert_eq!(queue.complete(&Ok(())), [1]);
    queue.push(call(4, now + ms(1_100)));
    assert!(
        queue.take_expired(now + ms(1_100)).is_empty(),
        "the log accepts records again"
    );
}

#[test]
fn a_line_that_ends_tells_what_may_be_in_the_log() {
    let now = Instant::now();
    let mut queue = AppendQueue::new(1);
    queue.push(call(1, now));
    assert!(queue.next_append(now).is_some());
    assert!(queue.complete(&unknown_outcome()).is_empty());
    queue.push(call(2, now));
    assert!(queue.complete(&Err(AppendError::Fenced)).is_empty());
    assert_eq!(queue.close(), [(1, true), (2, false)]);
}

/// The store can become slow from one call to the next, and sometimes loses answers.
#[test]
fn a_lost_answer_is_noticed_soon_and_a_slow_one_is_awaited() {
    let mut adaptive = AdaptiveTimeout::default();
    adaptive.record_answer(ms(5));
    assert!(adaptive.timeout() <= ms(1_000));
    adaptive.record_timeout();
    adaptive.record_timeout();
    assert!(
        adaptive.timeout() >= ms(2_000),
        "the store may have become slow"
    );
    adaptive.record_answer(ms(400));
    assert!(adaptive.timeout() >= ms(1_600));
    for _ in 0..60 {
        adaptive.record_answer(ms(5));
    }
    assert!(adaptive.timeout() <= ms(1_000));
}
