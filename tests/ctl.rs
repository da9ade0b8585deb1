//! The mimosactl binary against a fake fleet process.

#[path = "support/fake_backend.rs"]
mod fake_backend;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Command;
use std::process::Output;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use test_case::test_case;

use mimosastep::fleet::Accepted;
use mimosastep::fleet::SubmitError;
use mimosastep::record::Change;
use mimosastep::record::KeyHash;

use fake_backend::ACCEPTED;
use fake_backend::FakeBackend;
use fake_backend::KEY;
use fake_backend::serve;

type Answers = Vec<Result<Accepted, SubmitError>>;

/// Writes a new file. Its path is unique, because tests run in parallel.
fn write_file(name: &str, text: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "{}-{}-{name}",
        process::id(),
        COUNT.fetch_add(1, Ordering::Relaxed)
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("write");
    path
}

async fn run_ctl(fleet: &[SocketAddr], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosactl"));
    for addr in fleet {
        command.args(["--fleet", &addr.to_string()]);
    }
    command
        .arg("--key-file")
        .arg(write_file("operator.key", &format!("{KEY}\n")))
        .args(args);
    let run = compio::runtime::spawn_blocking(move || command.output());
    run.await.expect("joined").expect("run")
}

async fn run_host_out(answers: Answers) -> (Output, Rc<FakeBackend>) {
    let (fake, server) = serve(answers);
    let output = run_ctl(&[server.local_addr()], &["host", "out", "h1"]).await;
    (output, fake)
}

fn lines(bytes: &[u8]) -> Vec<String> {
    String::from_utf8_lossy(bytes)
        .lines()
        .map(str::to_owned)
        .collect()
}

fn not_appended() -> Result<Accepted, SubmitError> {
    Err(SubmitError::NotAppended("down".into()))
}

#[test_case(vec![Ok(ACCEPTED)], 0, 1; "accepted")]
#[test_case(vec![Err(SubmitError::Rejected("late".into()))], 1, 1; "rejected")]
#[test_case(vec![not_appended(), not_appended(), not_appended()], 3, 3; "not appended")]
#[test_case(vec![Err(SubmitError::Unknown), Ok(ACCEPTED)], 0, 2; "unknown then accepted")]
#[test_case(vec![Err(SubmitError::Unknown), not_appended(), not_appended()], 4, 3; "still unknown")]
fn exit_codes_tell_the_outcome(answers: Answers, code: i32, attempts: usize) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let (output, fake) = run_host_out(answers).await;
            assert_eq!(output.status.code(), Some(code), "{output:?}");
            assert_eq!(
                lines(&output.stderr).len(),
                usize::from(code != 0),
                "{output:?}"
            );
            let submissions = fake.submissions.borrow();
            assert_eq!(submissions.len(), attempts);
            assert!(
                submissions.iter().all(|one| *one == submissions[0]),
                "a retry differs from the first attempt"
            );
        });
}

#[compio::test]
async fn apply_shows_its_difference_and_builds_on_the_revision_read() {
    let (fake, server) = serve(vec![
        Ok(ACCEPTED),
        Err(SubmitError::Rejected("late".into())),
    ]);
    let fleet = [server.local_addr()];
    fake.view.borrow_mut().revision = 7;
    let table = write_file("apply.csv", "team,weight,limit,urgent\na,1,2,yes\n");
    let table = table.to_str().expect("path");
    let output = run_ctl(&fleet, &["apply", table]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(
        lines(&output.stdout),
        ["+ a,1,2,yes", "revision 8, in force"]
    );
    let lost = run_ctl(&fleet, &["apply", table, "--base", "3"]).await;
    assert_eq!(lost.status.code(), Some(1), "{lost:?}");
    let bases: Vec<_> = fake
        .submissions
        .borrow()
        .iter()
        .map(|one| one.base)
        .collect();
    assert_eq!(bases, [Some(7), Some(3)]);
}

/// The first process answers the health check, reads the whole change and closes the connection
/// without a reply. The retry at the next process has to use the same record id.
#[compio::test]
async fn a_lost_answer_is_repeated_with_the_same_id() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let first = listener.local_addr().expect("addr");
    let (fake, server) = serve(Vec::new());
    let received = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        read_until(&mut stream, "\r\n\r\n").await;
        let healthy = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(healthy).await.0.expect("write");
        read_until(&mut stream, "}}}").await
    });
    let output = run_ctl(&[first, server.local_addr()], &["host", "out", "h1"]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let id = fake.submissions.borrow()[0].id.to_string();
    assert!(received.await.expect("joined").contains(&id));
}

async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut received = String::new();
    while !received.ends_with(end) {
        let (read, buffer) = stream.read(Vec::with_capacity(4096)).await.into();
        assert_ne!(read.expect("read"), 0);
        received.push_str(&String::from_utf8_lossy(&buffer));
    }
    received
}

#[compio::test]
async fn a_silent_process_is_passed_over() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let (fake, server) = serve(Vec::new());
    let fleet = [silent.local_addr().expect("addr"), server.local_addr()];
    assert_eq!(
        run_ctl(&fleet, &["host", "in", "h1"]).await.status.code(),
        Some(0)
    );
    assert_eq!(fake.submissions.borrow().len(), 1);
}

#[test_case(
    "pools",
    "pool,service,open,teams,budget\np,s,yes,a b,1\n",
    r#"{"pools":[{"pool":"p","service":"s","open":true,"teams":["a","b"],"budget":1}]}"#
)]
#[test_case(
    "hosts",
    "host,dc,rack,addr,slots,pool\nh,d,r,10.0.0.1:80,4,p\n",
    r#"{"hosts":[{"host":"h","dc":"d","rack":"r","addr":"10.0.0.1:80","slots":4,"pool":"p"}]}"#
)]
fn files_of_rows_are_submitted(command: &str, text: &str, expected: &str) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let (fake, server) = serve(Vec::new());
            let rows = write_file("rows.csv", text);
            let args = ["--json", command, rows.to_str().expect("path")];
            let output = run_ctl(&[server.local_addr()], &args).await;
            let printed = r#"{"outcome":"accepted","revision":8,"in_force":true}"#;
            assert_eq!(lines(&output.stdout), [printed]);
            let change = serde_json::to_string(&fake.submissions.borrow()[0].change).expect("JSON");
            assert_eq!(change, expected);
        });
}

#[compio::test]
async fn the_next_process_is_tried_when_one_cannot_be_reached() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let unreachable = closed.local_addr().expect("addr");
    drop(closed);
    let (_fake, server) = serve(Vec::new());
    let reached = run_ctl(&[unreachable, server.local_addr()], &["dc", "in", "d1"]).await;
    assert_eq!(reached.status.code(), Some(0), "{reached:?}");
    let unreached = run_ctl(&[unreachable], &["dc", "in", "d1"]).await;
    assert_eq!(unreached.status.code(), Some(3), "{unreached:?}");
}

#[compio::test]
async fn a_key_is_granted_by_its_hash() {
    let (fake, server) = serve(Vec::new());
    let key = write_file("team.key", "secret\n");
    let args = [
        "key",
        "grant",
        "a",
        "--key-file",
        key.to_str().expect("path"),
    ];
    assert_eq!(
        run_ctl(&[server.local_addr()], &args).await.status.code(),
        Some(0)
    );
    let team = "a".parse().expect("name");
    let expected = Change::GrantKey {
        team,
        hash: KeyHash::of(b"secret"),
    };
    assert_eq!(fake.submissions.borrow()[0].change, expected);
}

#[test_case(&["check", "--table", "/nowhere"]; "no such file")]
#[test_case(&["host", "sideways", "h1"]; "bad word")]
#[test_case(&["frobnicate"]; "no such command")]
#[test_case(&["status"]; "no address")]
fn usage_errors_exit_with_2_and_one_line(args: &[&str]) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let output = run_ctl(&[], args).await;
            assert_eq!(output.status.code(), Some(2), "{output:?}");
            assert_eq!(lines(&output.stderr).len(), 1, "{output:?}");
        });
}

#[compio::test]
async fn check_names_every_wrong_row_offline() {
    let table = write_file(
        "bad.csv",
        "team,weight,limit,urgent\na,0,1,no\nb,1,1,maybe\n",
    );
    let output = run_ctl(&[], &["check", "--table", table.to_str().expect("path")]).await;
    assert_eq!(output.status.code(), Some(2));
    let expected = [":2: field `weight`", ":3: field `urgent`"];
    let errors = lines(&output.stderr);
    assert_eq!(errors.len(), 2, "{errors:?}");
    assert!(
        errors
            .iter()
            .zip(expected)
            .all(|(line, part)| line.contains(part)),
        "{errors:?}"
    );
}

#[test_case("teams", "TEAM  WEIGHT  LIMIT  URGENT  KEYS")]
#[test_case("members", "NODE  ROLE  INCARNATION  ADDR  DC  LEAVING")]
#[test_case("dcs", "DC  ACTIVE")]
fn show_prints_columns(part: &str, header: &str) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let (_fake, server) = serve(Vec::new());
            let output = run_ctl(&[server.local_addr()], &["show", part]).await;
            assert_eq!(lines(&output.stdout), [header]);
        });
}
