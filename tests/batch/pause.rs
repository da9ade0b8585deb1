//! Tests of how an owner notices that its process was paused.

use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::Now;
use mimosastep::batch::PauseDetector;

/// The time after both clocks have advanced by so many milliseconds.
fn later(now: Now, steady: u64, unix: u64) -> Now {
    Now {
        at: now.at + Duration::from_millis(steady),
        unix: now.unix + unix,
    }
}

fn start_time() -> Now {
    Now {
        at: Instant::now(),
        unix: 1_000_000,
    }
}

/// A process freezes while the answer to its renewal is in flight, and another one is elected. The
/// first one wakes up with that answer and with orders that are due.
#[test]
fn an_answer_asked_for_before_a_pause_allows_nothing_after_it() {
    let started = start_time();
    let mut pause = PauseDetector::new(started);
    let asked = later(started, 40, 40);
    assert!(!pause.observe(asked));
    assert!(pause.may_act(started.at, started.at));
    let woken = later(asked, 3_000, 3_000);
    assert!(pause.observe(woken));
    assert!(!pause.may_act(asked.at, started.at));
    assert!(!pause.observe(later(woken, 5, 5)));
    assert!(!pause.may_act(asked.at, started.at));
    assert!(pause.may_act(later(woken, 5, 5).at, started.at));
}

/// The steady clock does not advance while the machine is suspended.
#[test]
fn a_suspension_counts_though_the_steady_clock_stood_still() {
    let started = start_time();
    let mut pause = PauseDetector::new(started);
    let woken = later(started, 10, 5_000);
    assert!(pause.observe(woken));
    assert!(!pause.may_act(started.at, started.at));
    let asked = later(woken, 5, 5).at;
    assert!(
        !pause.may_act(asked, started.at),
        "the election was asked but has not confirmed the term"
    );
    assert!(pause.may_act(asked, asked));
}

#[test]
fn a_busy_process_is_not_paused() {
    let mut now = start_time();
    let started = now.at;
    let mut pause = PauseDetector::new(now);
    for _ in 0..100 {
        now = later(now, 300, 300);
        assert!(!pause.observe(now));
    }
    assert!(pause.may_act(started, started));
}
