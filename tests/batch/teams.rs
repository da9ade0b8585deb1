//! Tests of teams and their shares.

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Shares;

use crate::simulation::Simulation;
use crate::simulation::step;
use crate::simulation::team;

/// One team submits far more jobs than usual, more than the pool can run.
#[test]
fn a_team_that_floods_the_pool_hurts_only_itself() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    sim.set_team("calm", 20, 0);
    sim.set_team("flood", 4, 0);
    sim.script = Box::new(|_, _| (800, RunOutcome::Done));
    let mut calm = Vec::new();
    for turn in 0..40 {
        for number in 0..6 {
            let id = 1_000 + turn * 6 + number;
            sim.submit_as(Some(team("flood")), id, "captions", vec![step(2)]);
        }
        if turn % 5 == 0 {
            calm.push(sim.submit_as(Some(team("calm")), turn, "captions", vec![step(4)]));
        }
        sim.run(100);
        // One job is submitted every 0.5 s, and each must complete within its objective of 2.6 s.
        let waiting = calm.iter().rev().skip(5);
        for &job in waiting {
            assert_eq!(
                sim.job_state("captions", job),
                JobState::Completed,
                "job {job} missed its objective"
            );
        }
    }
}

/// Owners change while a team is beyond its share.
#[test]
fn a_later_owner_counts_the_jobs_that_are_over() {
    let mut sim = Simulation::new(&[("captions", 1)]);
    sim.set_team("calm", 20, 0);
    sim.set_team("flood", 1, 0);
    sim.script = Box::new(|_, _| (100, RunOutcome::Done));
    sim.submit_as(Some(team("flood")), 1, "captions", vec![step(1)]);
    sim.run(200);
    sim.replace_owner(2);
    sim.run(100);
    let flood = sim.submit_as(Some(team("flood")), 2, "captions", vec![step(16)]);
    let calm = sim.submit_as(Some(team("calm")), 3, "captions", vec![step(16)]);
    sim.run(60);
    let jobs: Vec<_> = sim.starts[1..]
        .iter()
        .map(|(_, task, ..)| task.job)
        .collect();
    assert!(jobs.contains(&calm));
    assert!(!jobs.contains(&flood));
}

#[test]
fn a_share_fills_by_its_weight_and_holds_a_second_of_it() {
    let mut shares = Shares::default();
    let name = team("fitters");
    let admitted = |shares: &mut Shares, unix, count| {
        (0..count).filter(|_| shares.admit(unix, &name, 5)).count()
    };
    assert_eq!(admitted(&mut shares, 1_000, 20), 5);
    assert_eq!(admitted(&mut shares, 1_400, 20), 2);
    assert_eq!(admitted(&mut shares, 60_000, 20), 5);
}
