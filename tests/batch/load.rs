//! Tests of the owner's load: time by task, lag and counts of work.

use std::time::Duration;
use std::time::Instant;

use mimosastep::batch::BatchMetrics;
use mimosastep::batch::Effort;
use mimosastep::batch::OwnerLoad;
use mimosastep::batch::OwnerTask;
use mimosastep::batch::PollPhase;

use crate::simulation::Simulation;
use crate::simulation::step;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn each_task_has_a_place_and_a_name_of_its_own() {
    for (index, task) in OwnerTask::ALL.into_iter().enumerate() {
        assert_eq!(task.index(), index, "{task:?}");
    }
    for phase in PollPhase::ALL {
        assert!(OwnerTask::ALL.contains(&OwnerTask::Poll(phase)));
    }
    let mut labels = OwnerTask::ALL.map(OwnerTask::label).to_vec();
    labels.sort_unstable();
    labels.dedup();
    assert_eq!(labels.len(), OwnerTask::ALL.len());
}

#[test]
fn a_summary_tells_the_longest_wait_and_the_time_by_task() {
    let began = Instant::now();
    let placement = OwnerTask::Poll(PollPhase::Placement);
    let mut load = OwnerLoad::new(began);
    load.note_round(3, ms(40));
    load.note_round(9, ms(700));
    load.note_round(1, ms(5));
    load.note_spent(OwnerTask::Messages, ms(100));
    load.note_spent(placement, ms(250));
    load.note_spent(placement, ms(150));
    let effort = Effort {
        placements: 2,
        ranked: 50,
        ..Effort::default()
    };
    assert_eq!(load.summarize(began + ms(999), effort), None);
    let summary = load.summarize(began + ms(1_000), effort).expect("due");
    assert_eq!(summary.lag, ms(700));
    assert_eq!((summary.messages, summary.most_messages), (13, 9));
    assert_eq!(summary.spent_on(placement), ms(400));
    assert_eq!(summary.busy_percent(), 50);
    assert_eq!(summary.effort, effort);

    let later = Effort {
        placements: 5,
        ranked: 80,
        ..Effort::default()
    };
    let summary = load.summarize(began + ms(2_000), later).expect("due");
    assert_eq!((summary.lag, summary.busy_percent()), (Duration::ZERO, 0));
    assert_eq!((summary.effort.placements, summary.effort.ranked), (3, 30));
}

#[test]
fn the_metrics_show_lag_time_by_task_and_work() {
    let began = Instant::now();
    let mut load = OwnerLoad::new(began);
    load.note_round(4, ms(250));
    load.note_spent(OwnerTask::Actions, ms(500));
    let effort = Effort {
        candidates: 7,
        ..Effort::default()
    };
    let summary = load.summarize(began + ms(1_000), effort).expect("due");
    let metrics = BatchMetrics::open().expect("no metrics");
    metrics.record_load(&summary);
    metrics.record_load(&summary);
    let text = metrics.encode().expect("not encoded");
    for line in [
        "mimosa_batch_owner_lag_seconds 0.25",
        "mimosa_batch_owner_busy_seconds_total{mimosa_task=\"actions\"} 1",
        "mimosa_batch_owner_busy_seconds_total{mimosa_task=\"placement\"} 0",
        "mimosa_batch_owner_messages_total 8",
        "mimosa_batch_owner_effort_total{mimosa_count=\"candidates\"} 14",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
}

/// The pages for operators name each metric of an owner's load.
#[test]
fn the_metrics_of_the_load_are_documented() {
    let page = include_str!("../../docs/METRICS.md");
    for name in [
        "lag_seconds",
        "busy_seconds_total",
        "messages_total",
        "effort_total",
    ] {
        let name = format!("`mimosa_batch_owner_{name}`");
        assert!(page.contains(&name), "{name}");
    }
    for label in Effort::LABELS {
        assert!(page.contains(&format!("`{label}`")), "{label}");
    }
    for task in OwnerTask::ALL {
        assert!(page.contains(&format!("`{}`", task.label())), "{task:?}");
    }
}

#[test]
fn the_dispatcher_counts_its_work() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    let before = sim.owner().dispatcher.effort();
    assert_eq!((before.starts, before.ends, before.candidates), (0, 0, 0));
    sim.submit(1, "captions", vec![step(3)]);
    sim.submit(2, "captions", vec![step(4)]);
    sim.run(2_000);
    let effort = sim.owner().dispatcher.effort().since(&before);
    assert_eq!((effort.starts, effort.ends), (7, 7));
    assert!(
        effort.placements > 0 && effort.candidates >= 2,
        "{effort:?}"
    );
    assert!(effort.ranked >= effort.candidates, "{effort:?}");
}

/// Guards against a limit on unanswered starts that holds work back and shows nowhere.
#[test]
fn placements_that_the_limit_on_starts_ended_are_counted() {
    let mut sim = Simulation::new(&[("captions", 20)]);
    sim.submit(1, "captions", vec![step(100)]);
    sim.run(500);
    let before = sim.owner().dispatcher.effort();
    assert_eq!(before.limited, 0);
    sim.submit(2, "captions", vec![step(100)]);
    sim.submit(3, "captions", vec![step(100)]);
    sim.run(500);
    let effort = sim.owner().dispatcher.effort().since(&before);
    // Once when the idle executors are asked whether they have restarted, and once when they have
    // answered.
    assert_eq!((effort.starts, effort.limited), (200, 2), "{effort:?}");
}
