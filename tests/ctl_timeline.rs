//! `mimosactl timeline` and `explain` against a fleet process with a scripted time line.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use mimosastep::fleet::Accepted;
use mimosastep::fleet::ApiBackend;
use mimosastep::fleet::DcView;
use mimosastep::fleet::OperatorsApi;
use mimosastep::fleet::StateView;
use mimosastep::fleet::Submission;
use mimosastep::fleet::SubmitError;
use mimosastep::fleet::TeamView;
use mimosastep::http::HttpServer;
use mimosastep::intake::Budget;
use mimosastep::observe::Event;
use mimosastep::observe::HlcTimestamp;
use mimosastep::observe::Note;
use mimosastep::observe::NoteKind;
use mimosastep::observe::Timeline;
use mimosastep::record::Host;
use mimosastep::record::KeyHash;
use mimosastep::record::Team;
use test_case::test_case;

const KEY: &str = "operators-key";
/// 2026-01-02T03:04:05.678Z in milliseconds since the Unix epoch.
const BASE_MILLIS: u64 = 1_767_323_045_678;

fn name<T: TryFrom<String, Error: std::fmt::Debug>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a name")
}

fn event(after: u64, by: &str, note: Note) -> Event {
    let stamp = HlcTimestamp::at(BASE_MILLIS + after);
    Event {
        stamp,
        at: stamp.millis(),
        by: name(by),
        note,
    }
}

fn timeline() -> Timeline {
    let out = || Note::new(NoteKind::ChangeAccepted, "taken out").host(&name("h1"));
    let refused = Note::new(NoteKind::RequestRefused, "at its limit")
        .team(&name("museum"))
        .request("r-1");
    Timeline {
        events: vec![
            event(0, "fleet-1", out()),
            event(5, "fleet-2", out()),
            event(9, "sched-1", refused),
            event(20_000, "fleet-1", out()),
        ],
        missing: vec![name("gate-3")],
        dropped: [(name("sched-1"), 7)].into(),
    }
}

fn view() -> StateView {
    let host = Host {
        dc: name("bangor"),
        rack: name("r1"),
        addr: ([10, 0, 0, 1], 80).into(),
        slots: 8,
        pool: name("captions"),
        home: name("captions"),
        active: false,
        draining: false,
        maintained: 0,
        leaving: false,
        listed: 0,
        upkeep: None,
    };
    let row = Team {
        weight: 4,
        limit: 200,
        urgent: true,
    };
    StateView {
        hosts: [(name("h1"), host)].into(),
        teams: [(name("museum"), TeamView { row, keys: 2 })].into(),
        centres: [(name("bangor"), DcView { active: true })].into(),
        ..StateView::default()
    }
}

struct ScriptedBackend;

impl ApiBackend for ScriptedBackend {
    fn submit(&self, _: Submission) -> LocalBoxFuture<'static, Result<Accepted, SubmitError>> {
        async { Err(SubmitError::Unknown) }.boxed_local()
    }

    fn view(&self) -> StateView {
        view()
    }

    fn timeline(&self, since: HlcTimestamp) -> LocalBoxFuture<'static, Timeline> {
        let mut timeline = timeline();
        timeline.events.retain(|event| event.stamp >= since);
        async { timeline }.boxed_local()
    }

    fn is_ready(&self) -> bool {
        true
    }
}

fn temp_path(name: &str) -> PathBuf {
    // Tests run in parallel, so each file needs a unique path.
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{count}-{name}", std::process::id());
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

async fn run_ctl(key: &str, args: &[&str]) -> Output {
    let operators = vec![KeyHash::of(KEY.as_bytes())];
    let handler = OperatorsApi::new(Rc::new(ScriptedBackend), operators).into_handler();
    let addr = ([127, 0, 0, 1], 0).into();
    let server =
        HttpServer::bind(addr, OperatorsApi::limits(Budget::default()), handler).expect("a server");
    let path = temp_path(&format!("key-of-{key}"));
    fs::write(&path, key).expect("write");
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosactl"));
    command
        .args(["--fleet", &server.local_addr().to_string()])
        .arg("--key-file")
        .arg(path)
        .args(args);
    let run = compio::runtime::spawn_blocking(move || command.output());
    run.await.expect("joined").expect("run")
}

async fn text(args: &[&str]) -> String {
    let output = run_ctl(KEY, args).await;
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

const OUT: &str =
    "2026-01-02T03:04:05.678Z fleet-1 (2 processes) change-accepted host=h1: taken out";
const REFUSED: &str =
    "2026-01-02T03:04:05.687Z sched-1 request-refused request=r-1 team=museum: at its limit";
const AGAIN: &str = "2026-01-02T03:04:25.678Z fleet-1 change-accepted host=h1: taken out";
const DROPPED: &str = "# sched-1 no longer has 7 older notes";
const MISSING: &str = "# gate-3 gave no answer";

#[test_case(&["timeline"], &[OUT, REFUSED, AGAIN, DROPPED, MISSING]; "all")]
#[test_case(&["timeline", "--host", "h1"], &[OUT, AGAIN, DROPPED, MISSING]; "a host")]
#[test_case(&["timeline", "--team", "museum"], &[REFUSED, DROPPED, MISSING]; "a team")]
#[test_case(&["timeline", "--request", "r-1"], &[REFUSED, DROPPED, MISSING]; "a request")]
#[test_case(&["timeline", "--node", "sched-1"], &[REFUSED, DROPPED, MISSING]; "a process")]
#[test_case(&["timeline", "--dc", "cardiff"], &[DROPPED, MISSING]; "nothing")]
#[test_case(&["timeline", "--since", "5"], &[DROPPED, MISSING]; "none since")]
#[test_case(&["explain", "host", "h1"], &[
    "host h1: takes no work: operators have taken it out; pool captions, data centre bangor, 8 slots",
    OUT, AGAIN, DROPPED, MISSING]; "why a host")]
#[test_case(&["explain", "team", "museum"], &[
    "team museum: weight 4, at most 200 slots, urgent true, 2 keys", REFUSED, DROPPED, MISSING]; "why a team")]
#[test_case(&["explain", "request", "r-2"], &["no event about it is on the time line"]; "why an unknown request")]
#[test_case(&["explain", "dc", "bangor"], &["data centre bangor: in service, 1 hosts",
    "no event about it is on the time line"]; "why a data centre")]
#[compio::test]
async fn prints(args: &[&str], lines: &[&str]) {
    assert_eq!(text(args).await.lines().collect::<Vec<_>>(), lines);
}

#[compio::test]
async fn draws_one_row_a_process_and_one_point_an_event() {
    let path = temp_path("timeline.svg");
    text(&["timeline", "--svg", &path.display().to_string()]).await;
    let picture = fs::read_to_string(path).expect("a picture");
    assert!(picture.starts_with("<svg"));
    assert_eq!(picture.matches("<circle").count(), 3);
    assert_eq!(picture.matches("<line").count(), 2);
    assert!(picture.contains("team=museum: at its limit"));
}

#[compio::test]
async fn json_keeps_every_field() {
    let events: Vec<Event> =
        serde_json::from_str(&text(&["--json", "timeline", "--team", "museum"]).await)
            .expect("events");
    assert_eq!(events, timeline().events[2..3]);
}

#[test_case(&["timeline"]; "timeline")]
#[test_case(&["explain", "host", "h1"]; "explain")]
#[compio::test]
async fn tells_nothing_without_an_operators_key(args: &[&str]) {
    let output = run_ctl("another-key", args).await;
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
}
