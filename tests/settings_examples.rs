//! The example settings files pass `--check` of their programs.

use std::env;
use std::fs;
use std::path::Path;
use std::process::Command;

use test_case::test_case;
use uuid::Uuid;

#[test_case("gate", env!("CARGO_BIN_EXE_mimosa-gate"))]
#[test_case("sched", env!("CARGO_BIN_EXE_mimosa-sched"))]
#[test_case("fleet", env!("CARGO_BIN_EXE_mimosa-fleet"))]
fn example_passes_the_check(role: &str, program: &str) {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings");
    let dir = env::temp_dir().join(format!("mimosa-examples-{}", Uuid::new_v4()));
    fs::create_dir(&dir).expect("a directory");
    // `--check` requires that these files exist, but does not read them.
    for name in [
        "ca.pem".to_owned(),
        format!("entry-1-{role}.pem"),
        format!("entry-1-{role}.key"),
    ] {
        fs::write(dir.join(name), "").expect("a file");
    }
    let check = Command::new(program)
        .arg("--settings")
        .arg(examples.join(format!("{role}.yaml")))
        .arg("--check")
        .current_dir(&dir)
        .output();
    fs::remove_dir_all(&dir).expect("removed");
    let output = check.expect("run");
    assert!(output.status.success(), "{output:?}");
}
