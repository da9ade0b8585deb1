//! Tests of the division of hosts between services.

use mimosastep::batch::Resources;
use mimosastep::division::Claim;
use mimosastep::division::TeamRoom;
use mimosastep::division::divide;
use mimosastep::name::TeamName;
use test_case::test_case;

/// A claim of needs by priority.
fn claim(needs: &[(u32, u64)]) -> Claim {
    let mut claim = Claim::default();
    for &(priority, cpu) in needs {
        claim.add(priority, cpu);
    }
    claim
}

/// Claims with one need each: priority and CPU.
fn claims(needs: &[(u32, u64)]) -> Vec<Claim> {
    needs.iter().map(|&need| claim(&[need])).collect()
}

#[test_case(&[(0, 300), (1, 600)], &[300, 600]; "enough for all")]
#[test_case(&[(1, 67_000), (1, 300)], &[749, 250]; "a burst beside another service's turn")]
#[test_case(&[(1, 67_000), (1, 13_000)], &[669, 330]; "two bursts at once")]
#[test_case(&[(1, 5_000), (1, 5_000), (1, 5_000), (1, 100)], &[299, 299, 300, 100]; "all short at once")]
#[test_case(&[(0, 700), (1, 5_000)], &[700, 300]; "urgent work beside a burst")]
#[test_case(&[(0, 5_000), (1, 5_000)], &[750, 250]; "urgent work that needs all")]
#[test_case(&[(0, u64::MAX), (1, u64::MAX)], &[750, 250]; "needs beyond all numbers")]
#[test_case(&[], &[]; "no service")]
fn hosts_are_divided(needs: &[(u32, u64)], expected: &[u64]) {
    assert_eq!(divide(1_000, &claims(needs)), expected);
}

/// Two bursts of less urgent work, then urgent work rises at a third service.
#[test]
fn urgent_work_takes_hosts_from_two_bursts() {
    let before = divide(1_000, &claims(&[(1, 9_000), (1, 9_000), (0, 50)]));
    assert_eq!(before, [475, 475, 50]);
    let after = divide(1_000, &claims(&[(1, 9_000), (1, 9_000), (0, 400)]));
    assert_eq!(after, [300, 300, 400]);
}

#[test]
fn the_less_urgent_work_of_a_service_has_no_part_in_its_urgency() {
    let claims = [claim(&[(0, 100), (1, 5_000)]), claim(&[(1, 5_000)])];
    assert_eq!(divide(1_000, &claims), [502, 497]);
}

/// However much another service needs, a service keeps its part of the half that is divided equally.
#[test_case(1; "work that is there")]
#[test_case(u32::MAX; "work that is forecast")]
fn no_service_is_starved_by_another(priority: u32) {
    for need in [1_000, 40_000, u64::MAX] {
        let granted = divide(1_000, &claims(&[(1, 4_000), (0, 200), (priority, need)]));
        assert!(granted[0] >= 150 && granted[1] == 200, "{granted:?}");
    }
}

#[test]
fn work_that_is_forecast_comes_after_work_that_is_there() {
    let granted = divide(
        1_000,
        &[claim(&[(1, 300), (u32::MAX, 60_000)]), claim(&[(1, 700)])],
    );
    assert_eq!(granted, [300, 700]);
}

#[test]
fn nothing_is_left_over_while_a_need_is_not_met() {
    for count in 1..40_u64 {
        let needs: Vec<(u32, u64)> = (0..count)
            .map(|number| (u32::from(number % 3 == 0), 37 * number + 900))
            .collect();
        let granted: u64 = divide(10_000, &claims(&needs)).iter().sum();
        let needed: u64 = needs.iter().map(|need| need.1).sum();
        // Remainders of divisions.
        assert!(
            granted + 3 * count >= needed.min(10_000),
            "{granted} with {count}"
        );
        assert!(granted <= 10_000);
    }
}

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a name")
}

fn resources(cpu: u64, memory: u64) -> Resources {
    Resources {
        cpu,
        memory,
        gpu: 0,
    }
}

/// A hot team at its limit: what it may not run fetches no host.
#[test_case(resources(u64::MAX, u64::MAX), 9_000; "no limit")]
#[test_case(resources(3_000, u64::MAX), 2_250; "limit of CPU")]
#[test_case(resources(u64::MAX, 400), 4_500; "limit of memory")]
#[test_case(resources(0, 0), 0; "all used up unseen")]
fn a_team_needs_what_it_may_run(room: Resources, usable: u64) {
    let hot = team("hot");
    let demands = [resources(9_000, 600), resources(3_000, 200)];
    let items = demands.iter().map(|&demand| (&hot, demand));
    let rooms = TeamRoom::of(items, |_| room);
    assert_eq!(rooms.usable(&hot, &demands[0]).cpu, usable);
    assert_eq!(rooms.usable(&team("calm"), &demands[0]), demands[0]);
}
