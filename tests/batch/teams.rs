//! Teams and their shares.

use mimosastep::batch::JobState;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Shares;

use crate::world::World;
use crate::world::step;
use crate::world::team;

/// The pattern: one team hands in many times its usual, more than the pool can run.
#[test]
fn a_team_that_floods_the_pool_hurts_only_itself() {
    let mut world = World::new(&[("captions", 2)]);
    world.admit_team("calm", 20, 0);
    world.admit_team("flood", 4, 0);
    world.script = Box::new(|_, _| (800, RunOutcome::Done));
    let mut calm = Vec::new();
    for turn in 0..40 {
        for number in 0..6 {
            let id = 1_000 + turn * 6 + number;
            world.submit_as(Some(team("flood")), id, "captions", vec![step(2)]);
        }
        if turn % 5 == 0 {
            calm.push(world.submit_as(Some(team("calm")), turn, "captions", vec![step(4)]));
        }
        world.run(100);
        // One comes in each half second, and each must be done within its objective of 2.6 s.
        let waiting = calm.iter().rev().skip(5);
        for &job in waiting {
            assert_eq!(world.state("captions", job), JobState::Completed, "{job}");
        }
    }
}

/// The pattern: owners change while a team is beyond its share.
#[test]
fn a_later_owner_counts_the_jobs_that_are_over() {
    let mut world = World::new(&[("captions", 1)]);
    world.admit_team("calm", 20, 0);
    world.admit_team("flood", 1, 0);
    world.script = Box::new(|_, _| (100, RunOutcome::Done));
    world.submit_as(Some(team("flood")), 1, "captions", vec![step(1)]);
    world.run(200);
    world.take_over(2);
    world.run(100);
    let flood = world.submit_as(Some(team("flood")), 2, "captions", vec![step(16)]);
    let calm = world.submit_as(Some(team("calm")), 3, "captions", vec![step(16)]);
    world.run(60);
    let jobs: Vec<_> = world.starts[1..]
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
