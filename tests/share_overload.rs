//! Shares, urgency and refusals of a service that gets more than it can run.

mod share_fleet;

use mimosastep::record::Team;
use share_fleet::Defect;
use share_fleet::Fleet;
use share_fleet::Outcome;
use share_fleet::fleet_state;
use test_case::test_case;

const SLOTS: u32 = 40;
/// Time in which urgent work is to start, in milliseconds; stated by the design.
const URGENT_MS: u64 = 1_000;

fn row(weight: u32, urgent: bool) -> Team {
    Team {
        weight,
        limit: 1_000,
        urgent,
    }
}

/// One scheduler, one gate, one service of five hosts.
fn fleet(teams: &[(&str, Team)], run_ms: fn(&mut rand::rngs::StdRng) -> u64) -> Fleet {
    let mut fleet = Fleet::new(7, 1, 1, fleet_state(1, 5, SLOTS / 5, teams), Defect::None);
    fleet.run_ms = run_ms;
    fleet
}

fn short(rng: &mut rand::rngs::StdRng) -> u64 {
    rand::RngExt::random_range(rng, 20..180)
}

fn submit_each(fleet: &mut Fleet, every: u64, team: &str, urgent: bool, within: u64) {
    if fleet.now.is_multiple_of(every) {
        fleet.submit(1, team, "s0", urgent, within);
    }
}

#[test_case(&[4, 2, 1, 1], &[true; 4], &[20.0, 10.0, 5.0, 5.0]; "all flood")]
#[test_case(&[4, 2, 1, 1], &[false, true, false, true], &[0.0, 80.0 / 3.0, 0.0, 40.0 / 3.0]; "two flood")]
#[test_case(&[4, 1], &[false, true], &[0.0, 40.0]; "one floods")]
fn slots_are_shared_by_weight_and_none_stays_free(
    weights: &[u32],
    floods: &[bool],
    shares: &[f64],
) {
    let names = ["a", "b", "c", "d"];
    let teams: Vec<(&str, Team)> = names
        .into_iter()
        .zip(weights.iter().map(|weight| row(*weight, false)))
        .collect();
    let mut fleet = fleet(&teams, short);
    let mut sums = [0.0; 4];
    while fleet.now < 12_000 {
        for (team, _) in names.iter().zip(floods).filter(|(_, floods)| **floods) {
            submit_each(&mut fleet, 2, team, false, 5_000);
        }
        fleet.step();
        if fleet.now > 2_000 {
            let running = names.map(|team| f64::from(fleet.running(team)));
            sums = [0, 1, 2, 3].map(|team| sums[team] + running[team] / 10_000.0);
        }
    }
    assert!(
        fleet.wasted * 100 <= fleet.started,
        "{} of {} cut off",
        fleet.wasted,
        fleet.started
    );
    for (mean, share) in sums.iter().zip(shares) {
        // One slot for the time that grants and finishes travel, and a slot of rounding.
        assert!((mean - share).abs() <= 2.0, "{sums:?} for {shares:?}");
    }
}

/// Queue five times over with runs of three seconds that all start and end together.
#[test]
fn urgent_work_starts_within_a_second_among_long_runs() {
    let teams = [("a", row(4, false)), ("b", row(1, true))];
    let mut fleet = fleet(&teams, |_| 3_000);
    while fleet.now < 40_000 {
        submit_each(&mut fleet, 15, "a", false, 60_000);
        if fleet.now > 1_000 {
            submit_each(&mut fleet, 1_700, "b", true, 10_000);
        }
        fleet.step();
    }
    let urgent: Vec<&Outcome> = fleet.outcomes.iter().filter(|o| o.urgent).collect();
    let late: Vec<u64> = urgent
        .iter()
        .map(|o| {
            if o.retry_after.is_some() {
                u64::MAX
            } else {
                o.settled_at - o.submitted_at
            }
        })
        .filter(|wait| *wait > URGENT_MS)
        .collect();
    assert!(urgent.len() > 20);
    assert_eq!(late, Vec::<u64>::new());
}

#[test]
fn a_flood_of_urgent_work_starves_nobody() {
    let teams = [("a", row(1, false)), ("b", row(1, true))];
    let mut fleet = fleet(&teams, short);
    while fleet.now < 10_000 {
        submit_each(&mut fleet, 1, "a", false, 5_000);
        submit_each(&mut fleet, 1, "b", true, 5_000);
        fleet.step();
    }
    let started = |team: &str| {
        let of_team = |o: &&Outcome| o.team == team && o.retry_after.is_none();
        fleet.outcomes.iter().filter(of_team).count()
    };
    let (regular, urgent) = (started("a"), started("b"));
    assert!(regular * 10 >= urgent * 8, "{regular} beside {urgent}");
}

/// A peak of five times what the service can run, then a twentieth of it.
#[test]
fn refused_callers_find_a_place_when_they_come_back() {
    let mut fleet = fleet(&[("a", row(1, false))], short);
    let mut back: Vec<Outcome> = Vec::new();
    let (mut again, mut found, mut refused) = (0, 0, 0);
    let within = 2_000;
    while fleet.now < 60_000 {
        match fleet.now {
            1_000..6_000 => submit_each(&mut fleet, 1, "a", false, within),
            6_000.. => submit_each(&mut fleet, 50, "a", false, within),
            _ => submit_each(&mut fleet, 5, "a", false, within),
        }
        if (1_000..6_000).contains(&fleet.now) {
            fleet.submit(1, "a", "s0", false, within);
        }
        for outcome in std::mem::take(&mut fleet.outcomes) {
            again += u32::from(outcome.again);
            found += u32::from(outcome.again && outcome.retry_after.is_none());
            if outcome.retry_after.is_some() && !outcome.again {
                refused += 1;
                back.push(outcome);
            }
        }
        let now = fleet.now;
        let due = |o: &Outcome| o.settled_at + o.retry_after.unwrap_or(0) <= now;
        let (due, rest) = back.into_iter().partition(due);
        back = rest;
        for outcome in &due as &Vec<Outcome> {
            fleet.submit_again(1, outcome, within);
        }
        fleet.step();
    }
    assert!(refused > 1_000, "{refused}");
    assert!(
        found * 10 >= again * 9,
        "{found} of {again}, {refused} refused"
    );
}

/// One scheduler has both services; the team is at its limit.
#[test]
fn services_of_one_scheduler_take_turns_at_a_teams_permits() {
    let limited = Team {
        limit: 8,
        ..row(1, false)
    };
    let state = fleet_state(2, 5, SLOTS / 5, &[("a", limited)]);
    let mut fleet = Fleet::new(7, 1, 1, state, Defect::None);
    fleet.run_ms = short;
    let mut sums = [0; 2];
    while fleet.now < 6_000 {
        fleet.submit(1, "a", "s0", false, 1_000);
        fleet.submit(1, "a", "s1", false, 1_000);
        fleet.step();
        sums = [0, 1].map(|service| sums[service] + fleet.demand("a", service)[0]);
    }
    assert!(
        sums[0].abs_diff(sums[1]) * 10 <= sums[0] + sums[1],
        "{sums:?}"
    );
}
