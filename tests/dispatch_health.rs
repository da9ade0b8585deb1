//! Outlier ejection: a host that fails all requests is ejected, but requests or teams that fail on
//! every host eject none.

use std::time::Duration;
use std::time::Instant;

use mimosastep::health::Health;
use mimosastep::health::HealthChange;
use mimosastep::name::HostName;
use mimosastep::name::TeamName;
use mimosastep::wire::Evidence;
use mimosastep::wire::RequestId;

struct Harness {
    health: Health,
    now: Instant,
    serial: u128,
}

impl Harness {
    /// Returns hosts that have each just served a request of team `t`.
    fn new(hosts: usize) -> Self {
        let mut health = Health::default();
        health.update((0..hosts).map(host));
        let mut harness = Self {
            health,
            now: Instant::now(),
            serial: 0,
        };
        (0..hosts).for_each(|index| {
            harness.record(index, "t", None, Evidence::Served);
        });
        harness
    }

    fn record(
        &mut self,
        index: usize,
        team: &str,
        request: Option<u128>,
        evidence: Evidence,
    ) -> Option<HealthChange> {
        self.serial += 1;
        let request = RequestId(request.unwrap_or(1_000 + self.serial));
        let team: TeamName = team.parse().expect("a name");
        let now = self.now;
        self.health
            .record(now, &host(index), &team, request, evidence)
    }

    fn fail(&mut self, index: usize, count: usize) -> Vec<HealthChange> {
        (0..count)
            .filter_map(|_| self.record(index, "t", None, Evidence::Failed))
            .collect()
    }

    fn may_assign(&self, index: usize, running: u32) -> bool {
        self.health.may_assign(self.now, &host(index), running)
    }
}

fn host(index: usize) -> HostName {
    format!("h{index}").parse().expect("a name")
}

#[test]
fn a_host_that_fails_five_requests_in_a_row_is_ejected_and_tried_later() {
    let mut harness = Harness::new(10);
    assert_eq!(harness.fail(0, 4), []);
    harness.record(0, "t", None, Evidence::Served);
    assert_eq!(harness.fail(0, 5), [HealthChange::Ejected]);
    for (wait, is_trial) in [(1_000, true), (1_999, false), (1, true), (3_999, false)] {
        assert!(!harness.may_assign(0, 0));
        harness.now += Duration::from_millis(wait);
        assert_eq!(
            (harness.may_assign(0, 0), harness.may_assign(0, 1)),
            (is_trial, false)
        );
        if is_trial {
            assert_eq!(harness.fail(0, 1), [HealthChange::TrialFailed]);
        }
    }
    harness.now += Duration::from_millis(1);
    let change = harness.record(0, "t", None, Evidence::Served);
    assert_eq!(change, Some(HealthChange::Readmitted));
    assert!(harness.may_assign(0, 7));
}

#[test_case::test_case(10, 2)]
#[test_case::test_case(4, 1; "at least one")]
fn only_a_part_of_the_hosts_is_ejected(hosts: usize, ejected: usize) {
    let mut harness = Harness::new(hosts);
    (0..hosts - 1).for_each(|index| {
        harness.fail(index, 9);
    });
    assert_eq!(harness.health.ejected(), ejected);
}

#[test]
fn a_request_that_fails_on_two_good_hosts_is_the_culprit() {
    let mut harness = Harness::new(10);
    harness.record(0, "t", Some(7), Evidence::Failed);
    assert!(!harness.health.is_at_fault(harness.now, RequestId(7)));
    harness.record(1, "t", Some(7), Evidence::Failed);
    assert!(harness.health.is_at_fault(harness.now, RequestId(7)));
    harness.now += Duration::from_secs(11);
    assert!(!harness.health.is_at_fault(harness.now, RequestId(7)));
}

#[test_case::test_case("broken", Evidence::Failed; "a team that is served nowhere")]
#[test_case::test_case("t", Evidence::Nothing; "busy answers")]
fn this_speaks_against_no_host(team: &str, evidence: Evidence) {
    let mut harness = Harness::new(10);
    for index in (0..10).cycle().take(200) {
        assert_eq!(harness.record(index, team, None, evidence), None);
    }
}

#[test]
fn requests_that_fail_everywhere_eject_no_host() {
    let mut harness = Harness::new(10);
    for request in 0..50 {
        for index in [0, 1, 2] {
            let change = harness.record(index, "t", Some(request), Evidence::Failed);
            assert_eq!(change, None, "request {request}");
        }
    }
}
