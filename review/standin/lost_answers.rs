//! During a wave the management of machines carries calls out but its answers are lost for 5 s.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::executor::Traits;
use crate::has_trouble;
use crate::json::Json;
use crate::json::table;
use crate::record::Record;
use crate::site::Job;
use crate::site::Layout;
use crate::site::Site;
use crate::site::Step;
use crate::site::Unable;
use crate::site::still_for;

const JOB: &str = "5c0e7a21d94b36f8";
/// Executors of the service whose machines are due for upkeep.
const DUE: u64 = 3;
/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(5);
/// Time from the beginning of the wave to the submission.
const CALM: Duration = Duration::from_secs(16);
/// Time after the end of the traffic at which submissions are asked for, `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time without a run after which accepted work counts as lost.
const STILL: Duration = Duration::from_secs(3);

pub fn run(record: Arc<Record>) -> Result<Outcome, Unable> {
    let captions = (1..=DUE).map(|number| Traits::new(&format!("c-{number}"), "r-1"));
    let plaques = (1..=5).map(|number| Traits {
        service: "plaques".to_owned(),
        ..Traits::new(&format!("p-{number}"), "r-2")
    });
    let layout = Layout {
        executors: captions.chain(plaques).collect(),
        ..Layout::default()
    };
    let mut site = Site::open(layout, record.clone())?;
    let outcome = play(&site);
    site.close();
    outcome
}

fn play(site: &Site) -> Result<Outcome, Unable> {
    thread::sleep(Duration::from_secs(5));
    if has_trouble() {
        site.cloud.set_silent(true);
    }
    let machines: Vec<String> = (1..=DUE).map(|number| format!("m-c-{number}")).collect();
    let wave = table([
        ("wave", 1_u64.into()),
        ("machines", machines.into()),
        ("ramp_s", 26_u64.into()),
        ("at_most", Json::from(DUE)),
    ]);
    site.record.note("operator", &format!("op/wave/1 {wave}"));
    site.store.put("keyed.op", "wave/1", &wave);
    thread::sleep(OUTAGE);
    if has_trouble() {
        site.cloud.set_silent(false);
    }
    thread::sleep(CALM - OUTAGE);
    let status = site.store.newest_value("keyed.status", "wave/1");
    site.record
        .note("operator", &format!("status/wave/1 {status:?}"));
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
