//! A host that fails everything is ejected; a request or team that fails everywhere ejects none.

use std::time::Duration;
use std::time::Instant;

use mimosastep::health::Health;
use mimosastep::health::HealthChange;
use mimosastep::name::HostName;
use mimosastep::name::TeamName;
use mimosastep::wire::Evidence;
use mimosastep::wire::RequestId;

struct Site {
    health: Health,
    now: Instant,
    request: u128,
}

impl Site {
    /// Hosts that have all served team `t` just now.
    fn open(hosts: usize) -> Self {
        let mut health = Health::default();
        health.update((0..hosts).map(host));
        let mut site = Self {
            health,
            now: Instant::now(),
            request: 0,
        };
        (0..hosts).for_each(|index| {
            site.record(index, "t", None, Evidence::Served);
        });
        site
    }

    fn record(
        &mut self,
        index: usize,
        team: &str,
        request: Option<u128>,
        evidence: Evidence,
    ) -> Option<HealthChange> {
        self.request += 1;
        let request = RequestId(request.unwrap_or(1_000 + self.request));
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
    let mut site = Site::open(10);
    assert_eq!(site.fail(0, 4), []);
    site.record(0, "t", None, Evidence::Served);
    assert_eq!(site.fail(0, 5), [HealthChange::Ejected]);
    for (wait, trials) in [(1_000, true), (1_999, false), (1, true), (3_999, false)] {
        assert!(!site.may_assign(0, 0));
        site.now += Duration::from_millis(wait);
        assert_eq!(
            (site.may_assign(0, 0), site.may_assign(0, 1)),
            (trials, false)
        );
        if trials {
            assert_eq!(site.fail(0, 1), [HealthChange::TrialFailed]);
        }
    }
    site.now += Duration::from_millis(1);
    let change = site.record(0, "t", None, Evidence::Served);
    assert_eq!(change, Some(HealthChange::Readmitted));
    assert!(site.may_assign(0, 7));
}

#[test_case::test_case(10, 2)]
#[test_case::test_case(4, 1; "at least one")]
fn only_a_part_of_the_hosts_is_ejected(hosts: usize, ejected: usize) {
    let mut site = Site::open(hosts);
    (0..hosts - 1).for_each(|index| {
        site.fail(index, 9);
    });
    assert_eq!(site.health.ejected(), ejected);
}

#[test]
fn a_request_that_fails_on_two_good_hosts_is_the_culprit() {
    let mut site = Site::open(10);
    site.record(0, "t", Some(7), Evidence::Failed);
    assert!(!site.health.is_at_fault(site.now, RequestId(7)));
    site.record(1, "t", Some(7), Evidence::Failed);
    assert!(site.health.is_at_fault(site.now, RequestId(7)));
    site.now += Duration::from_secs(11);
    assert!(!site.health.is_at_fault(site.now, RequestId(7)));
}

#[test_case::test_case("broken", Evidence::Failed; "a team that is served nowhere")]
#[test_case::test_case("t", Evidence::Nothing; "busy answers")]
fn this_speaks_against_no_host(team: &str, evidence: Evidence) {
    let mut site = Site::open(10);
    for index in (0..10).cycle().take(200) {
        assert_eq!(site.record(index, team, None, evidence), None);
    }
}

#[test]
fn requests_that_fail_everywhere_eject_no_host() {
    let mut site = Site::open(10);
    for request in 0..50 {
        for index in [0, 1, 2] {
            let change = site.record(index, "t", Some(request), Evidence::Failed);
            assert_eq!(change, None, "request {request}");
        }
    }
}
