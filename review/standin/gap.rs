//! A leader freezes, its successor accepts a job and freezes too, and the first one leads again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::executor::Traits;
use crate::has_trouble;
use crate::node::SIGCONT;
use crate::node::SIGSTOP;
use crate::record::Record;
use crate::site::Job;
use crate::site::Layout;
use crate::site::Site;
use crate::site::Step;
use crate::site::Unable;

const JOB: &str = "5c0e7a21d94b36f8";
/// Time for which each node is frozen.
const FROZEN: Duration = Duration::from_millis(3_500);
/// Time after which calm machines are in touch again, `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn run(record: Arc<Record>) -> Result<Outcome, Unable> {
    let executors = (1..=3).map(|number| {
        let (id, rack) = (format!("w-{number}"), format!("r-{number}"));
        Traits::new(&id, &rack)
    });
    let layout = Layout {
        nodes: 2,
        executors: executors.collect(),
        ..Layout::default()
    };
    let mut site = Site::open(layout, record.clone())?;
    let outcome = play(&site);
    site.close();
    outcome
}

fn freeze(site: &Site, node: usize) -> Instant {
    site.nodes[node].signal(SIGSTOP);
    site.record
        .note("platform", &format!("{} frozen", site.nodes[node].name));
    Instant::now()
}

/// Wakes a node at the end of the time for which it is frozen.
fn thaw(site: &Site, node: usize, frozen: Instant) {
    thread::sleep(FROZEN.saturating_sub(frozen.elapsed()));
    site.nodes[node].signal(SIGCONT);
    site.record
        .note("platform", &format!("{} awake", site.nodes[node].name));
}

fn play(site: &Site) -> Result<Outcome, Unable> {
    site.wait_for("there is a leader", Duration::from_secs(5), |site| {
        site.leader().is_some()
    })?;
    thread::sleep(Duration::from_secs(3));
    let first = site.leader().ok_or("no leader")?;
    let second = 1 - first;
    site.record
        .note("platform", &format!("{} leads", site.nodes[first].name));
    let mut first_frozen = Instant::now();
    if has_trouble() {
        first_frozen = freeze(site, first);
        site.wait_for("the other node leads", Duration::from_secs(3), |site| {
            site.leader() == Some(second)
        })?;
        site.record
            .note("platform", &format!("{} leads", site.nodes[second].name));
    }
    let step = Step {
        count: 2,
        cpu: 800,
        mem_mb: 2_900,
        estimate_ms: 5_000,
        ..Step::default()
    };
    let job = Job {
        spec: "5000".to_owned(),
        steps: vec![step],
        ..Job::default()
    };
    if site.submit(second, JOB, &job) != Some(200) {
        return Err("the submission was not accepted".to_owned());
    }
    if has_trouble() {
        let second_frozen = freeze(site, second);
        thaw(site, first, first_frozen);
        thaw(site, second, second_frozen);
    }
    // All machines are in touch again, and the time for which a job may be unknown is over.
    thread::sleep(CONTACT + Duration::from_secs(1));
    let mut outcome = Outcome::Held;
    for _ in 0..5 {
        for node in [first, second] {
            if let Some((410, _)) = site.call(node, "GET", JOB, "") {
                outcome = Outcome::Broken;
            }
        }
        thread::sleep(Duration::from_secs(1));
    }
    let leader = site.leader().map(|at| site.nodes[at].name.clone());
    site.record.note(
        "check",
        &format!("leader {leader:?}; {} runs", site.runs().len()),
    );
    Ok(outcome)
}
