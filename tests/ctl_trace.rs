//! `mimosactl trace` on saved logs.

use std::io::Write;
use std::process::Command;

use test_case::test_case;

const LOG_A: &str = r#"  1.5 front-a {"msg":"answered","level":"INFO","ts":"2026-01-01T00:00:01Z","node":"a","job":"5c0e7a21d94b36f8","done":"Accepted"}
  1.6 front-a {"msg":"answered","level":"INFO","ts":"2026-01-01T00:00:01.5Z","node":"a","job":"00000000000000aa","done":"Accepted"}
not a line of a log
"#;
const LOG_B: &str = r#"{"msg":"start","level":"INFO","ts":"2026-01-01T00:00:02Z","node":"b","task":"5c0e7a21d94b36f8.0.0.1","run":7}
{"msg":"refused","level":"INFO","ts":"2026-01-01T00:00:00Z","node":"b","path":"/captions/5c0e7a21d94b36f8","why":"no key"}
"#;

fn trace(id: &str) -> (i32, String, String) {
    let dir = tempfile::tempdir().expect("a directory");
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosactl"));
    command.arg("trace");
    for (name, text) in [("a.log", LOG_A), ("b.log", LOG_B)] {
        let path = dir.path().join(name);
        let mut file = std::fs::File::create(&path).expect("a file");
        file.write_all(text.as_bytes()).expect("written");
        command.arg("--log").arg(path);
    }
    let output = command.arg(id).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let code = output.status.code().expect("an exit code");
    (code, text(output.stdout), text(output.stderr))
}

#[test]
fn a_job_is_followed_over_all_machines_in_order() {
    let (code, out, _) = trace("5c0e7a21d94b36f8");
    assert_eq!(code, 0);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(
        lines,
        [
            "2026-01-01T00:00:00Z b refused path=/captions/5c0e7a21d94b36f8 why=no key",
            "2026-01-01T00:00:01Z a answered done=Accepted job=5c0e7a21d94b36f8",
            "2026-01-01T00:00:02Z b start run=7 task=5c0e7a21d94b36f8.0.0.1",
        ]
    );
}

#[test_case("5c0e7a21"; "a part of an id")]
#[test_case("ffffffffffffffff"; "an id that no line names")]
fn what_no_line_names_is_told(id: &str) {
    let (code, out, err) = trace(id);
    assert_eq!(code, 1);
    assert!(out.is_empty());
    assert!(err.contains("no line concerns"), "{err}");
}
