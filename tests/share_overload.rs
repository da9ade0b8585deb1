//! Shares, urgent work and refusals of a service that is overloaded.

mod share_fleet;

use mimosastep::record::Team;
use share_fleet::Defect;
use share_fleet::Fleet;
use share_fleet::Outcome;
use share_fleet::fleet_state;
use test_case::test_case;

const SLOTS: u32 = 40;
/// Longest wait of urgent work before it starts, in milliseconds; a design target.
const URGENT_MS: u64 = 1_000;

fn team_row(weight: u32, urgent: bool) -> Team {
    Team {
        weight,
        limit: 1_000,
        urgent,
    }
}

/// Returns a fleet of one scheduler, one gate and one service of five hosts.
fn fleet(teams: &[(&str, Team)], run_ms: fn(&mut rand::rngs::StdRng) -> u64) -> Fleet {
    let mut fleet = Fleet::new(7, 1, 1, fleet_state(1, 5, SLOTS / 5, teams), Defect::None);
    fleet.run_ms = run_ms;
    fleet
}

fn short_run_ms(rng: &mut rand::rngs::StdRng) -> u64 {
    rand::RngExt::random_range(rng, 20..180)
}

fn submit_every(fleet: &mut Fleet, interval_ms: u64, team: &str, urgent: bool, within: u64) {
    if fleet.now.is_multiple_of(interval_ms) {
        fleet.submit(1, team, "s0", urgent, within);
    }
}

#[test_case(&[4, 2, 1, 1], &[true; 4], &[20.0, 10.0, 5.0, 5.0]; "all flood")]
#[test_case(&[4, 2, 1, 1], &[false, true, false, true], &[0.0, 80.0 / 3.0, 0.0, 40.0 / 3.0]; "two flood")]
#[test_case(&[4, 1], &[false, true], &[0.0, 40.0]; "one floods")]
fn slots_are_shared_by_weight_and_none_stays_free(
    weights: &[u32],
    is_flooding: &[bool],
    shares: &[f64],
) {
    let names = ["a", "b", "c", "d"];
    let teams: Vec<(&str, Team)> = names
        .into_iter()
        .zip(weights.iter().map(|weight| team_row(*weight, false)))
        .collect();
    let mut fleet = fleet(&teams, short_run_ms);
    let mut means = [0.0; 4];
    while fleet.now < 12_000 {
        for (team, _) in names
            .iter()
            .zip(is_flooding)
            .filter(|(_, is_flooding)| **is_flooding)
        {
            submit_every(&mut fleet, 2, team, false, 5_000);
        }
        fleet.step();
        if fleet.now > 2_000 {
            let running = names.map(|team| f64::from(fleet.running(team)));
            means = [0, 1, 2, 3].map(|team| means[team] + running[team] / 10_000.0);
        }
    }
    assert!(
        fleet.cancelled * 100 <= fleet.started,
        "{} of {} tasks cancelled",
        fleet.cancelled,
        fleet.started
    );
    for (mean, share) in means.iter().zip(shares) {
        // Tolerance: one slot for grants and finish messages in transit, and one for rounding.
        assert!((mean - share).abs() <= 2.0, "{means:?} for {shares:?}");
    }
}

/// The load is five times the capacity, by tasks that run for three seconds and all start and end
/// together.
#[test]
fn urgent_work_starts_within_a_second_among_long_runs() {
    let teams = [("a", team_row(4, false)), ("b", team_row(1, true))];
    let mut fleet = fleet(&teams, |_| 3_000);
    while fleet.now < 40_000 {
        submit_every(&mut fleet, 15, "a", false, 60_000);
        if fleet.now > 1_000 {
            submit_every(&mut fleet, 1_700, "b", true, 10_000);
        }
        fleet.step();
    }
    let urgent: Vec<&Outcome> = fleet.outcomes.iter().filter(|o| o.urgent).collect();
    let late_waits: Vec<u64> = urgent
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
    assert_eq!(late_waits, Vec::<u64>::new());
}

#[test]
fn a_flood_of_urgent_work_starves_nobody() {
    let teams = [("a", team_row(1, false)), ("b", team_row(1, true))];
    let mut fleet = fleet(&teams, short_run_ms);
    while fleet.now < 10_000 {
        submit_every(&mut fleet, 1, "a", false, 5_000);
        submit_every(&mut fleet, 1, "b", true, 5_000);
        fleet.step();
    }
    let started = |team: &str| {
        let of_team = |o: &&Outcome| o.team == team && o.retry_after.is_none();
        fleet.outcomes.iter().filter(of_team).count()
    };
    let (regular, urgent) = (started("a"), started("b"));
    assert!(regular * 10 >= urgent * 8, "{regular} beside {urgent}");
}

/// A peak of five times the capacity of the service, then a load of a twentieth of it.
#[test]
fn refused_callers_find_a_place_when_they_come_back() {
    let mut fleet = fleet(&[("a", team_row(1, false))], short_run_ms);
    let mut waiting: Vec<Outcome> = Vec::new();
    let (mut retried, mut accepted, mut refused) = (0, 0, 0);
    let within = 2_000;
    while fleet.now < 60_000 {
        match fleet.now {
            1_000..6_000 => submit_every(&mut fleet, 1, "a", false, within),
            6_000.. => submit_every(&mut fleet, 50, "a", false, within),
            _ => submit_every(&mut fleet, 5, "a", false, within),
        }
        if (1_000..6_000).contains(&fleet.now) {
            fleet.submit(1, "a", "s0", false, within);
        }
        for outcome in std::mem::take(&mut fleet.outcomes) {
            retried += u32::from(outcome.is_retry);
            accepted += u32::from(outcome.is_retry && outcome.retry_after.is_none());
            if outcome.retry_after.is_some() && !outcome.is_retry {
                refused += 1;
                waiting.push(outcome);
            }
        }
        let now = fleet.now;
        let due = |o: &Outcome| o.settled_at + o.retry_after.unwrap_or(0) <= now;
        let (due, rest) = waiting.into_iter().partition(due);
        waiting = rest;
        for outcome in &due as &Vec<Outcome> {
            fleet.submit_again(1, outcome, within);
        }
        fleet.step();
    }
    assert!(refused > 1_000, "{refused}");
    assert!(
        accepted * 10 >= retried * 9,
        "{accepted} of {retried}, {refused} refused"
    );
}

/// One scheduler serves both services, and the team is at its limit.
#[test]
fn services_of_one_scheduler_take_turns_at_a_teams_permits() {
    let limited = Team {
        limit: 8,
        ..team_row(1, false)
    };
    let state = fleet_state(2, 5, SLOTS / 5, &[("a", limited)]);
    let mut fleet = Fleet::new(7, 1, 1, state, Defect::None);
    fleet.run_ms = short_run_ms;
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
