//! While a partition of the store is down, over 500 tasks end on one worker, which lists 500 ends at a time.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Outcome;
use crate::executor::Traits;
use crate::has_trouble;
use crate::record::Record;
use crate::site::Job;
use crate::site::Layout;
use crate::site::Site;
use crate::site::Step;
use crate::site::Unable;
use crate::site::by_task;

const JOB: &str = "5c0e7a21d94b36f8";
/// Time before the first occurrence of the job.
const BEFORE_FIRST: Duration = Duration::from_millis(1_500);
/// Time for which the partition is down.
const DOWN: Duration = Duration::from_millis(4_000);
/// Occurrences of the job.
const REPETITIONS: u64 = 20;
/// Time between two of them, in milliseconds.
const INTERVAL_MS: u64 = 300;

pub fn run(record: Arc<Record>) -> Result<Outcome, Unable> {
    let executors = (1..=3).map(|number| {
        let (id, rack) = (format!("w-{number}"), format!("r-{number}"));
        Traits::new(&id, &rack)
    });
    let layout = Layout {
        executors: executors.collect(),
        ..Layout::default()
    };
    let mut site = Site::open(layout, record.clone())?;
    let outcome = play(&site);
    site.close();
    outcome
}

fn play(site: &Site) -> Result<Outcome, Unable> {
    thread::sleep(Duration::from_secs(3));
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let step = Step {
        count: 150,
        cpu: 20,
        mem_mb: 64,
        estimate_ms: 20,
        ..Step::default()
    };
    let job = Job {
        spec: "20".to_owned(),
        steps: vec![step],
        repetitions: REPETITIONS,
        start_ms: (now + BEFORE_FIRST).as_millis() as u64,
        interval_ms: INTERVAL_MS,
    };
    if site.submit(0, JOB, &job) != Some(200) {
        return Err("the submission was not accepted".to_owned());
    }
    thread::sleep(BEFORE_FIRST + Duration::from_millis(700));
    if has_trouble() {
        site.record.note(
            "store",
            "partition 0 of topic jobs is down: its calls get 503",
        );
        site.store.set_busy_part(Some(("jobs", 0)));
        thread::sleep(DOWN);
        site.store.set_busy_part(None);
        site.record.note("store", "all partitions are up");
    }
    thread::sleep(Duration::from_secs(12));
    Ok(check(site))
}

/// Looks for starts of tasks that had ended `done`, with the end acknowledged before or later.
fn check(site: &Site) -> Outcome {
    let runs = site.runs();
    let (mut again, mut twice) = (0, 0);
    for (task, runs) in by_task(&runs) {
        for (at, run) in runs.iter().enumerate() {
            let done = runs[..at].iter().find(|earlier| {
                earlier.how == "done"
                    && earlier.noted.is_some()
                    && !earlier.lapsed_before_noted
                    && earlier.to.is_some_and(|to| to < run.from)
            });
            let Some(done) = done else {
                continue;
            };
            again += 1;
            twice += u32::from(run.how == "done");
            if again <= 20 {
                site.record.note(
                    "check",
                    &format!(
                        "{task}: run {} ended done on {} at {:.3}, noted at {:.3}; run {} started on {} at {:.3}",
                        done.run,
                        done.executor,
                        done.to.unwrap_or_default().as_secs_f64(),
                        done.noted.unwrap_or_default().as_secs_f64(),
                        run.run,
                        run.executor,
                        run.from.as_secs_f64()
                    ),
                );
            }
        }
    }
    site.record.note(
        "check",
        &format!(
            "{} runs; {again} of tasks that were done, {twice} of them done as well",
            runs.len()
        ),
    );
    if again > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
