//! The parser of the scenario language, and the scenarios that CI runs against real processes.

use std::fs;
use std::path::Path;
use std::sync::Mutex;

use scenarios::runner;
use scenarios::script::parse;
use scenarios::step::Bound;
use scenarios::step::Step;
use test_case::test_case;

/// Makes scenarios run one at a time, so that they do not compete for processor time.
static ALONE: Mutex<()> = Mutex::new(());

#[test_case("answers_lost")]
#[test_case("dc_out")]
#[test_case("frozen_rejoins")]
#[test_case("key_withdrawn")]
#[test_case("log_down")]
#[test_case("race")]
#[test_case("rolling_stop")]
#[test_case("sched_stop")]
#[test_case("scheduler_frozen")]
#[test_case("scheduler_killed")]
#[test_case("served")]
#[test_case("signals_in_shutdown")]
#[test_case("voter_restarts")]
fn scenario_holds(name: &str) {
    let _alone = ALONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts");
    let text = fs::read_to_string(dir.join(name).with_extension("scn"))
        .expect("scenario file should be readable");
    runner::run(&text).expect("scenario should pass");
}

#[test_case("kill entry-0-gate", &Step::Kill("entry-0-gate".into()))]
#[test_case("terminate entry-0-gate", &Step::Terminate("entry-0-gate".into()))]
#[test_case("reload entry-0-gate", &Step::Reload("entry-0-gate".into()))]
#[test_case("pause 500 # comment", &Step::Pause(500))]
#[test_case("ctl dc out x", &Step::Ctl(vec!["dc".into(), "out".into(), "x".into()]))]
#[test_case("expect answered a >= 5", &Step::Expect {
    metric: vec!["answered".into(), "a".into()],
    bound: Bound::AtLeast,
    expected: 5.0,
})]
#[test_case("until status 401 t s at 2 within 30", &Step::Until {
    status: 401,
    team: "t".into(),
    service: "s".into(),
    entry: 2,
    within_ms: 30,
})]
fn a_line_is_a_step(line: &str, step: &Step) {
    assert_eq!(
        parse(line).expect("line should be a step"),
        [(1, step.clone())]
    );
}

#[test_case("jump", 1)]
#[test_case("kill", 1)]
#[test_case("\n# comment\npause soon", 3)]
#[test_case("expect answered a ~ 5", 1)]
#[test_case("load a requests 5 pace 1", 1)]
fn another_line_is_an_error(text: &str, line: usize) {
    let error = parse(text).expect_err("text should not parse").to_string();
    assert!(error.starts_with(&format!("line {line}: ")), "{error}");
}
