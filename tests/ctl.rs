//! The mimosactl binary against a fake fleet process.

#[path = "support/fake.rs"]
mod fake;

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

use fake::ACCEPTED;
use fake::Fake;
use fake::KEY;
use fake::serve;

type Answers = Vec<Result<Accepted, SubmitError>>;

/// A new file; tests run side by side, so each file has a path of its own.
fn file(name: &str, text: &str) -> PathBuf {
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

async fn ctl(fleet: &[SocketAddr], words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosactl"));
    for addr in fleet {
        command.args(["--fleet", &addr.to_string()]);
    }
    command
        .arg("--key-file")
        .arg(file("operator.key", &format!("{KEY}\n")))
        .args(words);
    let run = compio::runtime::spawn_blocking(move || command.output());
    run.await.expect("joined").expect("run")
}

async fn host_out(answers: Answers) -> (Output, Rc<Fake>) {
    let (fake, server) = serve(answers);
    let output = ctl(&[server.local_addr()], &["host", "out", "h1"]).await;
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
            let (output, fake) = host_out(answers).await;
            assert_eq!(output.status.code(), Some(code), "{output:?}");
            assert_eq!(
                lines(&output.stderr).len(),
                usize::from(code != 0),
                "{output:?}"
            );
            let got = fake.got.borrow();
            assert_eq!(got.len(), attempts);
            assert!(got.iter().all(|one| *one == got[0]), "the repeat differs");
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
    let table = file("apply.csv", "team,weight,limit,urgent\na,1,2,yes\n");
    let table = table.to_str().expect("path");
    let output = ctl(&fleet, &["apply", table]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(
        lines(&output.stdout),
        ["+ a,1,2,yes", "revision 8, in force"]
    );
    let lost = ctl(&fleet, &["apply", table, "--base", "3"]).await;
    assert_eq!(lost.status.code(), Some(1), "{lost:?}");
    let bases: Vec<_> = fake.got.borrow().iter().map(|one| one.base).collect();
    assert_eq!(bases, [Some(7), Some(3)]);
}

/// The first process answers the probe, takes the whole change and closes without an answer.
#[compio::test]
async fn a_lost_answer_is_repeated_with_the_same_id() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let first = listener.local_addr().expect("addr");
    let (fake, server) = serve(Vec::new());
    let taken = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        read_until(&mut stream, "\r\n\r\n").await;
        let healthy = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(healthy).await.0.expect("write");
        read_until(&mut stream, "}}}").await
    });
    let output = ctl(&[first, server.local_addr()], &["host", "out", "h1"]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let id = fake.got.borrow()[0].id.to_string();
    assert!(taken.await.expect("joined").contains(&id));
}

async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut taken = String::new();
    while !taken.ends_with(end) {
        let (read, buffer) = stream.read(Vec::with_capacity(4096)).await.into();
        assert_ne!(read.expect("read"), 0);
        taken.push_str(&String::from_utf8_lossy(&buffer));
    }
    taken
}

#[compio::test]
async fn a_silent_process_is_passed_over() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let (fake, server) = serve(Vec::new());
    let fleet = [silent.local_addr().expect("addr"), server.local_addr()];
    assert_eq!(
        ctl(&fleet, &["host", "in", "h1"]).await.status.code(),
        Some(0)
    );
    assert_eq!(fake.got.borrow().len(), 1);
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
fn files_of_rows_are_submitted(command: &str, text: &str, wanted: &str) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let (fake, server) = serve(Vec::new());
            let rows = file("rows.csv", text);
            let words = ["--json", command, rows.to_str().expect("path")];
            let output = ctl(&[server.local_addr()], &words).await;
            let printed = r#"{"outcome":"accepted","revision":8,"in_force":true}"#;
            assert_eq!(lines(&output.stdout), [printed]);
            let change = serde_json::to_string(&fake.got.borrow()[0].change).expect("JSON");
            assert_eq!(change, wanted);
        });
}

#[compio::test]
async fn the_next_process_is_tried_when_one_cannot_be_reached() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let nobody = closed.local_addr().expect("addr");
    drop(closed);
    let (_fake, server) = serve(Vec::new());
    let reached = ctl(&[nobody, server.local_addr()], &["dc", "in", "d1"]).await;
    assert_eq!(reached.status.code(), Some(0), "{reached:?}");
    let unreached = ctl(&[nobody], &["dc", "in", "d1"]).await;
    assert_eq!(unreached.status.code(), Some(3), "{unreached:?}");
}

#[compio::test]
async fn a_key_is_granted_by_its_hash() {
    let (fake, server) = serve(Vec::new());
    let key = file("team.key", "secret\n");
    let words = [
        "key",
        "grant",
        "a",
        "--key-file",
        key.to_str().expect("path"),
    ];
    assert_eq!(
        ctl(&[server.local_addr()], &words).await.status.code(),
        Some(0)
    );
    let team = "a".parse().expect("name");
    let wanted = Change::GrantKey {
        team,
        hash: KeyHash::of(b"secret"),
    };
    assert_eq!(fake.got.borrow()[0].change, wanted);
}

#[test_case(&["check", "--table", "/nowhere"]; "no such file")]
#[test_case(&["host", "sideways", "h1"]; "bad word")]
#[test_case(&["frobnicate"]; "no such command")]
#[test_case(&["status"]; "no address")]
fn usage_errors_exit_with_2_and_one_line(words: &[&str]) {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(async {
            let output = ctl(&[], words).await;
            assert_eq!(output.status.code(), Some(2), "{output:?}");
            assert_eq!(lines(&output.stderr).len(), 1, "{output:?}");
        });
}

#[compio::test]
async fn check_names_every_wrong_row_offline() {
    let table = file(
        "bad.csv",
        "team,weight,limit,urgent\na,0,1,no\nb,1,1,maybe\n",
    );
    let output = ctl(&[], &["check", "--table", table.to_str().expect("path")]).await;
    assert_eq!(output.status.code(), Some(2));
    let wanted = [":2: field `weight`", ":3: field `urgent`"];
    let errors = lines(&output.stderr);
    assert_eq!(errors.len(), 2, "{errors:?}");
    assert!(
        errors
            .iter()
            .zip(wanted)
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
            let output = ctl(&[server.local_addr()], &["show", part]).await;
            assert_eq!(lines(&output.stdout), [header]);
        });
}
