//! Tests of which processes stand as candidates for owner.

use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::Candidacy;
use mimosastep::batch::Strength;
use test_case::test_case;

/// Advances time in steps of 100 ms, and records `attended` whenever a check is due.
fn run_checks(candidacy: &mut Candidacy, now: &mut Instant, ms: u64, attended: Option<bool>) {
    let until = *now + Duration::from_millis(ms);
    while *now < until {
        if candidacy.needs_check(*now) {
            candidacy.record_check(*now, attended);
        }
        *now += Duration::from_millis(100);
    }
}

#[test_case(0.12, Strength::Weak; "an eighth of a core")]
#[test_case(0.25, Strength::Strong; "a quarter of a core")]
fn strength_follows_the_processor(cores: f64, strength: Strength) {
    assert_eq!(Strength::of(cores), strength);
}

#[test]
fn a_strong_process_takes_part_without_looking() {
    let now = Instant::now();
    let candidacy = Candidacy::new(Strength::Strong, now);
    assert!(candidacy.is_candidate());
    assert!(!candidacy.needs_check(now));
}

/// A site has many weak machines and a few strong ones, and all strong ones are lost.
#[test]
fn a_weak_process_stands_by_until_no_strong_one_is_left() {
    let mut now = Instant::now();
    let mut candidacy = Candidacy::new(Strength::Weak, now);
    run_checks(&mut candidacy, &mut now, 5_000, Some(true));
    assert!(!candidacy.is_candidate());
    run_checks(&mut candidacy, &mut now, 1_000, Some(false));
    assert!(
        !candidacy.is_candidate(),
        "strong processes may be absent only briefly"
    );
    run_checks(&mut candidacy, &mut now, 2_000, Some(false));
    assert!(candidacy.is_candidate());
    run_checks(&mut candidacy, &mut now, 1_000, Some(true));
    assert!(!candidacy.is_candidate(), "a strong process is back");
}

#[test]
fn what_is_not_known_changes_nothing() {
    let mut now = Instant::now();
    let mut candidacy = Candidacy::new(Strength::Weak, now);
    run_checks(&mut candidacy, &mut now, 10_000, None);
    assert!(!candidacy.is_candidate());
    run_checks(&mut candidacy, &mut now, 3_000, Some(false));
    assert!(candidacy.is_candidate());
    run_checks(&mut candidacy, &mut now, 10_000, None);
    assert!(candidacy.is_candidate());
}
