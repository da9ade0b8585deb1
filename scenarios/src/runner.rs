//! Runs a scenario against a site of real processes.

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::Value;

use crate::http;
use crate::layout::Layout;
use crate::process::sibling_program;
use crate::script;
use crate::site::Site;
use crate::step::LoadSpec;
use crate::step::Step;
use crate::step::Switch;

/// Timeout for a process to end after a signal, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 30_000;
/// Deadline of the requests that an `until` step sends, in milliseconds.
const REQUEST_DEADLINE_MS: &str = "2000";

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Runs the scenario `text`.
///
/// # Errors
/// The first step that fails, with its line number.
pub fn run(text: &str) -> Fallible<()> {
    let steps = script::parse(text)?;
    let mut runner = Runner::default();
    for (line, step) in steps {
        runner
            .run_step(&step)
            .map_err(|err| format!("line {line}: {err}"))?;
    }
    Ok(())
}

#[derive(Default)]
struct Runner {
    site: Option<Site>,
    loads: HashMap<String, Child>,
    reports: HashMap<String, Value>,
}

impl Runner {
    fn run_step(&mut self, step: &Step) -> Fallible<()> {
        match step {
            Step::Site(name) => self.start_site(name),
            Step::Start(node) => self.start(node),
            Step::Kill(node) => self.end(node, Signal::SIGKILL).map(drop),
            Step::Stop(node) => self.stop(node),
            Step::Terminate(node) => self.signal(node, Signal::SIGTERM),
            Step::Reload(node) => self.signal(node, Signal::SIGHUP),
            Step::Freeze(node) => self.signal(node, Signal::SIGSTOP),
            Step::Thaw(node) => self.signal(node, Signal::SIGCONT),
            Step::Cut(node, direction) => self.site()?.cut(node, direction),
            Step::Log(switch) => {
                let log = self.site()?.log;
                set_switch(log, switch)
            }
            Step::Backend(host, switch) => self.backend(host, switch),
            Step::Platform(host, state) => self.site()?.set_host_state(host, state),
            Step::Ctl(args) => self.ctl(args, true),
            Step::CtlFails(args) => self.ctl(args, false),
            Step::Pause(millis) => {
                thread::sleep(Duration::from_millis(*millis));
                Ok(())
            }
            Step::Load(spec) => self.load(spec),
            Step::Finish(name) => self.finish(name),
            Step::Until {
                status,
                team,
                service,
                entry,
                within_ms,
            } => self.until(*status, team, service, *entry, *within_ms),
            Step::Expect {
                metric,
                bound,
                expected,
            } => {
                let actual = self.metric(metric)?;
                if bound.is_met(actual, *expected) {
                    return Ok(());
                }
                let name = metric.join(" ");
                let report = metric.last().and_then(|load| self.reports.get(load));
                let report = report.map(ToString::to_string).unwrap_or_default();
                Err(format!("{name} is {actual}, expected {bound:?} {expected} {report}").into())
            }
        }
    }

    fn site(&mut self) -> Fallible<&mut Site> {
        self.site.as_mut().ok_or_else(|| "no site yet".into())
    }

    fn start_site(&mut self, name: &str) -> Fallible<()> {
        let layout = match name {
            "small" => Layout::small(),
            "today" => Layout::today(),
            _ => return Err(format!("no such site: {name}").into()),
        };
        self.site = Some(Site::spawn(layout)?);
        Ok(())
    }

    fn start(&mut self, node: &str) -> Fallible<()> {
        let (entry, role) = node
            .strip_prefix("entry-")
            .and_then(|rest| rest.split_once('-'))
            .ok_or("a process is named entry-N-ROLE")?;
        self.site()?.start(entry.parse()?, role)
    }

    fn signal(&mut self, node: &str, signal: Signal) -> Fallible<()> {
        Ok(self.site()?.process(node)?.signal(signal)?)
    }

    fn end(&mut self, node: &str, signal: Signal) -> Fallible<i32> {
        let process = self.site()?.process(node)?;
        process.signal(signal)?;
        let deadline = Instant::now() + Duration::from_millis(STOP_TIMEOUT_MS);
        let status = process.wait(deadline)?;
        status.ok_or_else(|| format!("{node} does not end").into())
    }

    fn stop(&mut self, node: &str) -> Fallible<()> {
        match self.end(node, Signal::SIGTERM)? {
            0 => Ok(()),
            status => Err(format!("{node} ended with status {status}").into()),
        }
    }

    fn backend(&mut self, host: &str, switch: &Switch) -> Fallible<()> {
        let backends = self.site()?.backends.clone();
        if host == "all" {
            return backends
                .iter()
                .try_for_each(|addr| set_switch(*addr, switch));
        }
        let index: usize = host.strip_prefix("host-").unwrap_or(host).parse()?;
        let addr = backends.get(index).ok_or("no such host")?;
        set_switch(*addr, switch)
    }

    fn ctl(&mut self, args: &[String], success: bool) -> Fallible<()> {
        let site = self.site()?;
        let dir = site.dir().display().to_string();
        let args: Vec<String> = args.iter().map(|arg| arg.replace("SITE", &dir)).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = site.ctl(&args)?;
        if output.status.success() == success {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(format!(
            "mimosactl {} ended with {}: {text}",
            args.join(" "),
            output.status
        )
        .into())
    }

    fn load(&mut self, spec: &LoadSpec) -> Fallible<()> {
        let site = self.site()?;
        let child = Command::new(sibling_program("standin-load")?)
            .args(["--json", "--requests", &spec.requests.to_string()])
            .args(["--pace", &spec.pace.to_string()])
            .args(["--callers", &spec.callers.to_string()])
            .args(site.load_args())
            .args(&spec.extra)
            .stdout(Stdio::piped())
            .spawn()?;
        self.loads.insert(spec.name.clone(), child);
        Ok(())
    }

    fn finish(&mut self, name: &str) -> Fallible<()> {
        let child = self.loads.remove(name).ok_or("no such load")?;
        let output = child.wait_with_output()?;
        self.reports
            .insert(name.to_owned(), serde_json::from_slice(&output.stdout)?);
        Ok(())
    }

    fn until(
        &mut self,
        status: u16,
        team: &str,
        service: &str,
        entry: usize,
        within_ms: u64,
    ) -> Fallible<()> {
        let gates = self.site()?.gates();
        let gate = *gates.get(entry).ok_or("no such entry host")?;
        let path = format!("/v1/services/{service}/requests");
        let key = format!("Bearer {}", Site::key(team));
        let headers = [
            ("authorization", key.as_str()),
            ("x-deadline-ms", REQUEST_DEADLINE_MS),
        ];
        let what = format!("status {status} for {team}");
        Site::wait_until(&what, within_ms, || {
            http::send(gate, "POST", &path, &headers, "body")
                .is_ok_and(|response| response.status == status)
        })
    }

    fn metric(&mut self, metric: &[String]) -> Fallible<f64> {
        let words: Vec<&str> = metric.iter().map(String::as_str).collect();
        match words.as_slice() {
            ["run-twice"] => Ok(self
                .starts_by_request()?
                .values()
                .filter(|n| **n > 1)
                .count() as f64),
            ["runs"] => Ok(self.starts_by_request()?.values().sum::<u64>() as f64),
            ["marked-out", dc] => {
                let output = self.site()?.ctl_output(&["timeline", "--dc", dc])?;
                let marks = output.lines().filter(|line| line.contains("marked out"));
                Ok(marks.count() as f64)
            }
            ["running", host] => self.summary(host, "running"),
            ["started", host] => self.summary(host, "started"),
            [name, load] => {
                let report = self.reports.get(*load).ok_or("no report of that load")?;
                number(&report[*name]).ok_or_else(|| format!("{report} has no {name}").into())
            }
            _ => Err(format!("no such figure: {}", metric.join(" ")).into()),
        }
    }

    fn summary(&mut self, host: &str, field: &str) -> Fallible<f64> {
        let index: usize = host.strip_prefix("host-").unwrap_or(host).parse()?;
        let addr = *self.site()?.backends.get(index).ok_or("no such host")?;
        let runs = http::send(addr, "GET", "/runs/summary", &[], "")?.json();
        number(&runs[field]).ok_or_else(|| "no such figure".into())
    }

    /// Number of starts of each request on all backend servers.
    fn starts_by_request(&mut self) -> Fallible<HashMap<String, u64>> {
        let backends = self.site()?.backends.clone();
        starts_by_request(&backends)
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        for load in self.loads.values_mut() {
            let _ = load.kill();
            let _ = load.wait();
        }
    }
}

/// Number of starts of each request on all backend servers.
///
/// # Errors
/// If a backend server does not respond.
pub fn starts_by_request(backends: &[SocketAddr]) -> Fallible<HashMap<String, u64>> {
    let mut counts = HashMap::new();
    for addr in backends {
        let runs = http::send(*addr, "GET", "/runs", &[], "")?.json();
        let by_request = runs["by_request"].as_object().cloned().unwrap_or_default();
        for (request, count) in by_request {
            *counts.entry(request).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    Ok(counts)
}

/// Returns a number, or the sum of an object's values.
fn number(value: &Value) -> Option<f64> {
    match value {
        Value::Object(parts) => parts.values().map(Value::as_f64).sum(),
        other => other.as_f64(),
    }
}

fn set_switch(addr: SocketAddr, switch: &Switch) -> Fallible<()> {
    let body = format!("{{\"{}\": {}}}", switch.name, switch.value);
    let response = http::send(addr, "PUT", "/control", &[], &body)?;
    if response.status == 200 || response.status == 204 {
        return Ok(());
    }
    Err(format!(
        "the switch was refused: {} {}",
        response.status, response.body
    )
    .into())
}
