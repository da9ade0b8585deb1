//! Starts a full-size site, takes a data centre out and back in under load, and checks that every
//! request is answered and none runs twice.

use std::error::Error;
use std::process::Command;
use std::process::ExitCode;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use scenarios::layout::Layout;
use scenarios::process::sibling_program;
use scenarios::runner::starts_by_request;
use scenarios::site::Site;

/// Total number of requests.
const REQUESTS: u64 = 6_000;
const REQUESTS_PER_SECOND: u64 = 1_000;
/// Number of concurrent callers.
const CALLERS: u64 = 90;
/// Time until the data centre is taken out, and how long it stays out, in milliseconds.
const AWAY_MS: u64 = 1_500;
/// Exit status after SIGHUP, SIGINT or SIGTERM.
const EXIT_INTERRUPTED: i32 = 130;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("demo: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool, Box<dyn Error>> {
    println!("starting a site of today's size");
    let site = Site::spawn(Layout::today())?;
    kill_on_signal(site.process_ids())?;
    println!(
        "{} processes run; sending {REQUESTS} requests",
        site.process_ids().len()
    );
    let load = Command::new(sibling_program("standin-load")?)
        .args(load_args(&site))
        .stdout(Stdio::piped())
        .spawn()?;
    thread::sleep(Duration::from_millis(AWAY_MS));
    print!("{}", site.ctl_output(&["dc", "out", "swansea"])?);
    thread::sleep(Duration::from_millis(AWAY_MS));
    print!("{}", site.ctl_output(&["dc", "in", "swansea"])?);
    let output = load.wait_with_output()?;
    let timeline = sibling_program("demo")?.with_file_name("demo-timeline.svg");
    site.ctl_output(&["timeline", "--svg", &timeline.display().to_string()])?;
    println!("time line: {}", timeline.display());
    let report: Value = serde_json::from_slice(&output.stdout)?;
    let counts = starts_by_request(&site.backends)?;
    let twice = counts.values().filter(|count| **count > 1).count();
    let number = |name: &str| report[name].as_f64().unwrap_or(f64::NAN);
    let answered = report["answered"].as_u64().unwrap_or(0);
    if answered != REQUESTS {
        println!("{report}");
    }
    println!(
        "answered {answered} of {REQUESTS}, run twice {twice}, p50 {:.2} ms, p99 {:.2} ms",
        number("p50_ms"),
        number("p99_ms"),
    );
    Ok(answered == REQUESTS && twice == 0)
}

fn load_args(site: &Site) -> Vec<String> {
    let mut args: Vec<String> = ["--json", "--retry", "--requests"]
        .map(String::from)
        .to_vec();
    args.push(REQUESTS.to_string());
    args.extend(["--callers".to_owned(), CALLERS.to_string()]);
    args.extend(["--pace".to_owned(), REQUESTS_PER_SECOND.to_string()]);
    args.extend(site.load_args());
    args
}

/// Kills all processes of the site, by id, when the demo is interrupted.
fn kill_on_signal(ids: Vec<u32>) -> Result<(), Box<dyn Error>> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            for id in ids {
                let _ = kill(Pid::from_raw(id.cast_signed()), Signal::SIGKILL);
            }
            std::process::exit(EXIT_INTERRUPTED);
        }
    });
    Ok(())
}
