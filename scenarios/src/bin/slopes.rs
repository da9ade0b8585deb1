//! Measures how the resource use of real processes grows, and prints Markdown tables.

use std::error::Error;
use std::fs;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use scenarios::fit::Slope;
use scenarios::layout::Layout;
use scenarios::process::sibling_program;
use scenarios::site::ROLES;
use scenarios::site::Site;
use scenarios::site::node_name;
use scenarios::usage::Usage;

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Numbers of entry hosts measured. Each runs three processes; a site also has five stand-ins.
const ENTRIES: [usize; 6] = [3, 5, 7, 9, 12, 16];
/// Target rates of requests per second.
const RATES: [u32; 4] = [200, 400, 800, 1_600];
/// Numbers of hosts in the replicated state.
const HOSTS: [u32; 4] = [550, 1_100, 2_200, 4_400];
/// Target rates of changes per second.
const CHANGES: [u32; 4] = [2, 5, 10, 15];
/// Number of host marks timed at each size.
const MARKS: u32 = 60;
/// Time for a new site to settle before a measurement, in milliseconds.
const SETTLE_MS: u64 = 3_000;
/// Duration of a measurement, in milliseconds.
const MEASUREMENT_MS: u64 = 8_000;

fn main() -> Fallible<()> {
    let only: Option<String> = std::env::args().nth(1);
    println!("{}", Slope::HEAD);
    for (name, experiment) in EXPERIMENTS {
        if only.as_ref().is_none_or(|only| only == name) {
            experiment()?;
        }
    }
    Ok(())
}

type Experiment = fn() -> Fallible<()>;

/// Experiments by name; the first command-line argument selects one.
const EXPERIMENTS: [(&str, Experiment); 5] = [
    ("idle", idle),
    ("loaded", loaded),
    ("rolled", rolled),
    ("stocked", stocked),
    ("changed", changed),
];

/// Mean resource use of each role's process over the entry hosts; memory is absolute, all else per
/// second.
fn measure(site: &mut Site, work: impl FnOnce(&mut Site) -> Fallible<()>) -> Fallible<[Usage; 3]> {
    let before = usages(site)?;
    let start = Instant::now();
    work(site)?;
    let rest = Duration::from_millis(MEASUREMENT_MS).saturating_sub(start.elapsed());
    sleep(rest);
    let seconds = start.elapsed().as_secs_f64();
    let after = usages(site)?;
    let entries = after.len() as f64;
    let mut mean = [Usage::default(); 3];
    for (after, before) in after.iter().zip(&before) {
        for (mean, (after, before)) in mean.iter_mut().zip(after.iter().zip(before)) {
            let used = after.since(before);
            mean.cpu += used.cpu / seconds / entries;
            mean.resident += used.resident / entries;
            mean.bytes += used.bytes / seconds / entries;
            mean.messages += used.messages / seconds / entries;
        }
    }
    Ok(mean)
}

fn usages(site: &mut Site) -> Fallible<Vec<[Usage; 3]>> {
    let addresses = site.addresses.clone();
    let mut all = Vec::new();
    for (entry, addresses) in addresses.iter().enumerate() {
        let mut usages = [Usage::default(); 3];
        for (role_index, usage) in usages.iter_mut().enumerate() {
            let pid = site.process(&node_name(entry, ROLES[role_index]))?.id();
            *usage = Usage::read(pid, addresses[role_index].http)?;
        }
        all.push(usages);
    }
    Ok(all)
}

/// A quantity as a function of a variable, printed as one row per role.
struct Series {
    quantity: &'static str,
    variable: &'static str,
    value: fn(&Usage) -> f64,
}

const CPU: fn(&Usage) -> f64 = |usage| usage.cpu * 100.0;
const MEMORY: fn(&Usage) -> f64 = |usage| usage.resident / 1e6;
const BYTES: fn(&Usage) -> f64 = |usage| usage.bytes / 1e3;
const MESSAGES: fn(&Usage) -> f64 = |usage| usage.messages;

fn print(points: &[(f64, [Usage; 3])], series: &[Series]) {
    for Series {
        quantity,
        variable,
        value,
    } in series
    {
        for (role_index, role) in ROLES.iter().enumerate() {
            let points = points
                .iter()
                .map(|(x, usages)| (*x, value(&usages[role_index])));
            let slope = Slope {
                quantity: format!("{role}: {quantity}"),
                variable: (*variable).to_owned(),
                points: points.collect(),
            };
            println!("{slope}");
        }
    }
}

fn small_layout(entries: usize) -> Layout {
    Layout {
        entries,
        ..Layout::small()
    }
}

fn settled_site(entries: usize) -> Fallible<Site> {
    let site = Site::spawn(small_layout(entries))?;
    sleep(Duration::from_millis(SETTLE_MS));
    Ok(site)
}

fn idle() -> Fallible<()> {
    let mut points = Vec::new();
    for entries in ENTRIES {
        let mut site = settled_site(entries)?;
        points.push((entries as f64, measure(&mut site, |_| Ok(()))?));
    }
    let variable = "entry hosts, idle";
    let series = [
        Series {
            quantity: "% of a core",
            variable,
            value: CPU,
        },
        Series {
            quantity: "KB/s on links, both ways",
            variable,
            value: BYTES,
        },
        Series {
            quantity: "messages/s, both ways",
            variable,
            value: MESSAGES,
        },
        Series {
            quantity: "resident MB",
            variable,
            value: MEMORY,
        },
    ];
    print(&points, &series);
    Ok(())
}

fn loaded() -> Fallible<()> {
    let mut site = settled_site(3)?;
    measure_by_rate(&mut site, &RATES, "requests/s over 3 entry hosts", load)
}

/// Measures while `work` runs at each of the target rates; the variable is the rate it achieves.
fn measure_by_rate(
    site: &mut Site,
    rates: &[u32],
    variable: &'static str,
    work: fn(&Site, u32) -> Fallible<f64>,
) -> Fallible<()> {
    let mut points = Vec::new();
    for rate in rates {
        let mut reached = 0.0;
        let usages = measure(site, |site| {
            reached = work(site, *rate)?;
            Ok(())
        })?;
        points.push((reached, usages));
    }
    let series = [
        Series {
            quantity: "% of a core",
            variable,
            value: CPU,
        },
        Series {
            quantity: "KB/s on links, both ways",
            variable,
            value: BYTES,
        },
    ];
    print(&points, &series);
    Ok(())
}

/// Sends `rate` requests per second and returns how many were answered per second.
fn load(site: &Site, rate: u32) -> Fallible<f64> {
    let mut command = Command::new(sibling_program("standin-load")?);
    for gate in site.gates() {
        command.arg("--target").arg(gate.to_string());
    }
    let (team, ..) = &site.layout.teams[0];
    let path = format!("/v1/services/{}/requests", site.layout.services[0]);
    command.args(["--path", &path, "--key", &Site::key(team)]);
    command.args(["--json", "--callers", "128", "--pace", &rate.to_string()]);
    command.args(["--seconds", &(MEASUREMENT_MS / 1_000).to_string()]);
    let output = command.output()?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into());
    }
    let report: Value = serde_json::from_slice(&output.stdout)?;
    report["rate"]
        .as_f64()
        .ok_or_else(|| "load report has no rate".into())
}

/// Measures the time from a mark command until it reports that the change is in force, with the
/// number of hosts that the system is designed for.
fn rolled() -> Fallible<()> {
    let mut points = [Vec::new(), Vec::new()];
    for entries in [3, 6, 9, 16] {
        let site = settled_site(entries)?;
        add_hosts(&site, 0, 4_400)?;
        let times = mark_latencies_ms(&site)?;
        points[0].push((entries as f64, times[times.len() / 2]));
        points[1].push((entries as f64, times[times.len() - 1]));
    }
    for (points, quantity) in points.into_iter().zip(["median", "largest"]) {
        let slope = Slope {
            quantity: format!("command to in force, ms, {quantity} of {MARKS}"),
            variable: "entry hosts, 4,400 hosts in the state".to_owned(),
            points,
        };
        println!("{slope}");
    }
    Ok(())
}

fn mark_latencies_ms(site: &Site) -> Fallible<Vec<f64>> {
    let mut times = Vec::new();
    for turn in 0..MARKS {
        let state = if turn % 2 == 0 { "out" } else { "in" };
        let start = Instant::now();
        let output = site.ctl_output(&["host", state, "stock-0"])?;
        if !output.contains(", in force") {
            return Err(format!("mark {turn}: expected a change in force, got: {output}").into());
        }
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}

/// Adds hosts to the replicated state that have no backend server.
fn add_hosts(site: &Site, from: u32, to: u32) -> Fallible<()> {
    let dcs = &site.layout.dcs;
    for start in (from..to).step_by(500) {
        let mut rows = "host,dc,rack,addr,slots,pool\n".to_owned();
        for i in start..to.min(start + 500) {
            let dc = &dcs[i as usize % dcs.len()];
            let (high, low) = (i / 250, i % 250);
            rows += &format!("stock-{i},{dc},{dc}-{high},10.9.{high}.{low}:7100,8,spare\n");
        }
        let path = site.path("stock.csv");
        fs::write(&path, rows)?;
        site.ctl_output(&["hosts", &path.display().to_string()])?;
    }
    Ok(())
}

fn stocked() -> Fallible<()> {
    let mut site = settled_site(3)?;
    let (mut points, mut stocked) = (Vec::new(), 0);
    for hosts in HOSTS {
        add_hosts(&site, stocked, hosts)?;
        stocked = hosts;
        points.push((f64::from(hosts), measure(&mut site, |_| Ok(()))?));
    }
    let variable = "hosts in the state, idle";
    let series = [
        Series {
            quantity: "resident MB",
            variable,
            value: MEMORY,
        },
        Series {
            quantity: "% of a core",
            variable,
            value: CPU,
        },
    ];
    print(&points, &series);
    Ok(())
}

fn changed() -> Fallible<()> {
    let mut site = settled_site(3)?;
    add_hosts(&site, 0, 4_400)?;
    measure_by_rate(
        &mut site,
        &CHANGES,
        "changes/s, 4,400 hosts in the state",
        mark_at_rate,
    )
}

/// Marks a host out and in, `rate` times per second, and returns the rate achieved.
fn mark_at_rate(site: &Site, rate: u32) -> Fallible<f64> {
    let start = Instant::now();
    let mut count = 0_u32;
    while start.elapsed() < Duration::from_millis(MEASUREMENT_MS) {
        let state = if count.is_multiple_of(2) { "out" } else { "in" };
        site.ctl_output(&["host", state, "stock-0"])?;
        count += 1;
        let due = Duration::from_secs_f64(f64::from(count) / f64::from(rate));
        sleep(due.saturating_sub(start.elapsed()));
    }
    Ok(f64::from(count) / start.elapsed().as_secs_f64())
}
