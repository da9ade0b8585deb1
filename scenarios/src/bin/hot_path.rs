//! Measures the latency that the system adds to requests sent directly to backend servers, and the
//! highest request rate.

use std::error::Error;
use std::fs;
use std::process::Command;
use std::process::ExitCode;

use serde_json::Value;

use scenarios::layout::Layout;
use scenarios::process::sibling_program;
use scenarios::site::Site;

/// Numbers of concurrent callers measured.
const CALLERS: [u32; 3] = [1, 16, 64];
/// Number of callers when measuring the highest rate.
const MAX_RATE_CALLERS: u32 = 288;
/// Duration of one measurement, in seconds.
const MEASUREMENT_SECONDS: &str = "4";
/// Limit on the added latency at the median, in milliseconds.
const MAX_ADDED_P50_MS: f64 = 0.3;
/// Limit on the added latency at the 99th percentile, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 3.0;
/// Request rate that the nine gates have to reach together.
const MIN_REQUESTS_PER_SECOND: f64 = 20_000.0;
/// Unit of the processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

type Fallible<T> = Result<T, Box<dyn Error>>;

struct Sample {
    rate: f64,
    p50: f64,
    p99: f64,
    cores: f64,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("hot_path: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Fallible<bool> {
    let mut layout = Layout::today();
    layout.run_ms = 0;
    let site = Site::spawn(layout)?;
    println!(
        "| callers | way | requests/s | p50 ms | p99 ms | cores of the system | requests/s a core |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut met = true;
    for callers in CALLERS {
        let direct = measure(&site, callers, direct_args(&site))?;
        print(callers, "direct", &direct);
        let through = measure(&site, callers, site.load_args())?;
        print(callers, "through", &through);
        let (p50, p99) = (through.p50 - direct.p50, through.p99 - direct.p99);
        let within = p50 <= MAX_ADDED_P50_MS && p99 <= MAX_ADDED_P99_MS;
        println!(
            "| {callers} | added | | {p50:.3} | {p99:.3} | | {} |",
            mark(within)
        );
        met &= within;
    }
    let most = measure(&site, MAX_RATE_CALLERS, site.load_args())?;
    print(MAX_RATE_CALLERS, "through", &most);
    println!(
        "\nrate of {MIN_REQUESTS_PER_SECOND} a second: {}",
        mark(most.rate >= MIN_REQUESTS_PER_SECOND)
    );
    Ok(met && most.rate >= MIN_REQUESTS_PER_SECOND)
}

fn direct_args(site: &Site) -> Vec<String> {
    let targets = site.backends.iter();
    let targets = targets.flat_map(|addr| ["--target".to_owned(), addr.to_string()]);
    targets.chain(["--direct".to_owned()]).collect()
}

fn measure(site: &Site, callers: u32, args: Vec<String>) -> Fallible<Sample> {
    let before = ticks(site)?;
    let output = Command::new(sibling_program("standin-load")?)
        .args([
            "--json",
            "--seconds",
            MEASUREMENT_SECONDS,
            "--callers",
            &callers.to_string(),
        ])
        .args(args)
        .output()?;
    let used = ticks(site)? - before;
    let report: Value = serde_json::from_slice(&output.stdout)?;
    let figure = |name: &str| report[name].as_f64().unwrap_or(f64::NAN);
    let answered = figure("answered");
    if figure("wrong") + figure("failed") > 0.0 || report["refused"] != serde_json::json!({}) {
        return Err(format!("expected all requests to be answered: {report}").into());
    }
    let seconds = figure("seconds");
    Ok(Sample {
        rate: answered / seconds,
        p50: figure("p50_ms"),
        p99: figure("p99_ms"),
        cores: used / TICKS_PER_SECOND / seconds,
    })
}

/// Processor time used by the system's own processes so far, in clock ticks.
fn ticks(site: &Site) -> Fallible<f64> {
    site.system_ids().iter().map(|id| process_ticks(*id)).sum()
}

fn process_ticks(id: u32) -> Fallible<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    Ok(field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0))
}

fn print(callers: u32, path: &str, sample: &Sample) {
    let core = if sample.cores > 0.0 {
        sample.rate / sample.cores
    } else {
        0.0
    };
    println!(
        "| {callers} | {path} | {:.0} | {:.3} | {:.3} | {:.2} | {core:.0} |",
        sample.rate, sample.p50, sample.p99, sample.cores
    );
}

const fn mark(met: bool) -> &'static str {
    if met { "met" } else { "not met" }
}
