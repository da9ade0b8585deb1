//! A policy allows a step on three of 62 executors, and one of them is lost for good.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::executor::Traits;
use crate::has_trouble;
use crate::record::Record;
use crate::site::Job;
use crate::site::Layout;
use crate::site::Site;
use crate::site::Step;
use crate::site::Unable;
use crate::site::still_for;

const JOB: &str = "5c0e7a21d94b36f8";
/// Executors of the service.
const EXECUTORS: u64 = 62;
/// Time from the loss to the submission. The executor's entry is gone by then.
const CALM: Duration = Duration::from_secs(9);
/// Time after the end of the traffic at which submissions are asked for, `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time without a run after which accepted work counts as lost.
const STILL: Duration = Duration::from_secs(3);

/// Ids like those of the platform, in no order.
fn id(number: u64) -> String {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("i-{:010x}", mixed >> 24)
}

pub fn run(record: Arc<Record>) -> Result<Outcome, Unable> {
    let mut ids: Vec<String> = (0..EXECUTORS).map(id).collect();
    ids.sort();
    // One near the beginning of the alphabet, two near its end.
    let allowed = [9, 40, 55].map(|at| ids[at].clone());
    let lost = allowed[0].clone();
    let executors = ids.iter().enumerate().map(|(at, id)| Traits {
        needs_ticket: true,
        ..Traits::new(id, &format!("r-{}", at / 8))
    });
    let layout = Layout {
        executors: executors.collect(),
        allowed: allowed.to_vec(),
        ..Layout::default()
    };
    record.note("advice", &format!("steps are allowed on {allowed:?}"));
    let mut site = Site::open(layout, record.clone())?;
    let outcome = play(&site, &lost);
    site.close();
    outcome
}

fn play(site: &Site, lost: &str) -> Result<Outcome, Unable> {
    thread::sleep(Duration::from_secs(4));
    if has_trouble() {
        let executor = site.executors.iter().find(|known| known.traits.id == lost);
        executor.ok_or("no such executor")?.terminate();
    }
    thread::sleep(CALM);
    let step = Step {
        count: 2,
        cpu: 800,
        mem_mb: 2_900,
        estimate_ms: 640,
        ..Step::default()
    };
    let job = Job {
        spec: "640".to_owned(),
        steps: vec![step],
        ..Job::default()
    };
    if site.submit(0, JOB, &job) != Some(200) {
        return Err("the submission was not accepted".to_owned());
    }
    thread::sleep(FINISH + STILL);
    let state = site.call(1, "GET", JOB, "").map(|(_, state)| state);
    let still = still_for(site, JOB, STILL);
    let is_done = state.as_deref() == Some("completed");
    site.record.note(
        "check",
        &format!(
            "state {state:?}, {} runs, nothing running for {still:?}",
            site.runs().len()
        ),
    );
    if !is_done && still >= STILL {
        Ok(Outcome::Broken)
    } else {
        Ok(Outcome::Held)
    }
}
