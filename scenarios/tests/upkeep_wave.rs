//! A maintenance wave over all hosts of a site of real processes, under load.

use std::error::Error;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;

use scenarios::http;
use scenarios::layout::Layout;
use scenarios::process::sibling_program;
use scenarios::site::Site;

/// Timeout for the wave: three racks of a pool one after another, each with at most 15 s until its
/// hosts are seen empty and 5 s of reboot; doubled for a busy machine.
const WAVE_TIMEOUT_MS: u64 = 120_000;
/// Timeout for marking a host that the platform lists as leaving, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 5_000;

fn show(site: &Site, part: &str) -> Value {
    let shown = site
        .ctl_output(&["--json", "show", part])
        .unwrap_or_default();
    serde_json::from_str(&shown).unwrap_or_default()
}

fn get(addr: SocketAddr, path: &str) -> Value {
    http::send(addr, "GET", path, &[], "").map_or(Value::Null, |response| response.json())
}

/// Indices of the hosts that the platform does not list now.
fn unlisted_hosts(site: &Site) -> Vec<usize> {
    let list = get(site.hosts, "/v1/hosts");
    let listed = |index: &usize| {
        let name = format!("host-{index}");
        let hosts = list["hosts"].as_array();
        hosts.is_none_or(|hosts| hosts.iter().any(|host| host["name"] == name))
    };
    let all = 0..site.backends.len();
    all.filter(|index| !listed(index)).collect()
}

#[test]
fn a_wave_maintains_a_pool_and_cuts_nothing() -> Result<(), Box<dyn Error>> {
    let site = Site::spawn(Layout::small())?;
    let mut load = Command::new(sibling_program("standin-load")?);
    load.args(["--json", "--retry", "--callers", "8", "--pace", "100"]);
    load.args(["--seconds", "60", "--key", &Site::key("museum")]);
    load.args(["--path", "/v1/services/captions/requests"]);
    for gate in site.gates() {
        load.args(["--target", &gate.to_string()]);
    }
    let load = load.stdout(Stdio::piped()).spawn()?;
    let (mut max_out, mut running) = (0, 0);
    let waited = Site::wait_until("all hosts are maintained", WAVE_TIMEOUT_MS, || {
        let out = unlisted_hosts(&site);
        max_out = max_out.max(out.iter().filter(|index| **index < 6).count());
        let runs = out.iter().map(|index| get(site.backends[*index], "/runs"));
        running += runs
            .filter_map(|runs| runs["running"].as_u64())
            .sum::<u64>();
        let hosts = show(&site, "hosts");
        let hosts = hosts.as_object().cloned().unwrap_or_default();
        hosts.len() == 8 && hosts.values().all(|host| host["maintained"] != 0)
    });
    if waited.is_err() {
        eprintln!("{}", show(&site, "hosts"));
    }
    waited?;
    assert!(
        (1..=4).contains(&max_out),
        "expected 1 to 4 hosts of the pool out at once, got {max_out}"
    );
    assert_eq!(running, 0, "tasks ran on hosts that rebooted");
    let output = load.wait_with_output()?;
    let report: Value = serde_json::from_slice(&output.stdout)?;
    assert_eq!(report["failed"], 0, "{report}");
    assert_eq!(report["wrong"], 0, "{report}");
    leave(&site)
}

fn leave(site: &Site) -> Result<(), Box<dyn Error>> {
    let list = get(site.hosts, "/v1/hosts");
    let mut hosts = list["hosts"].clone();
    hosts[0]["state"] = "leaving".into();
    let name = hosts[0]["name"].as_str().unwrap_or_default().to_owned();
    let body = hosts.to_string();
    http::send(site.hosts, "PUT", "/control/hosts", &[], &body)?;
    Site::wait_until("the leaving host is marked", LEAVE_TIMEOUT_MS, || {
        show(site, "hosts")[&name]["leaving"] == true
    })
}
