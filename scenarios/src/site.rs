//! A running site: the system's processes and the stand-ins around them.

use std::error::Error;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;

use crate::authority::Authority;
use crate::http;
use crate::layout::Layout;
use crate::ports;
use crate::process::Process;
use crate::process::sibling_program;
use crate::process_addresses::ProcessAddresses;

/// The roles that run on each entry host.
pub const ROLES: [&str; 3] = ["fleet", "sched", "gate"];
/// The operator key of every site.
const OPERATOR_KEY: &str = "operator-key-of-a-test-site";
/// Number of addresses of the platform's stand-ins: log, list of hosts, and forwarder control.
const PLATFORM_PORTS: usize = 3;
/// Number of addresses of one entry host.
const ENTRY_PORTS: usize = ROLES.len() * ProcessAddresses::COUNT;
/// Timeout for each step of making a new site ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;
/// Interval at which conditions are polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

type Fallible<T> = Result<T, Box<dyn Error>>;

/// A site of real processes, which are killed when it is dropped.
pub struct Site {
    /// The composition of the site.
    pub layout: Layout,
    /// Address of the log.
    pub log: SocketAddr,
    /// Addresses of the backend servers, in the order of the hosts.
    pub backends: Vec<SocketAddr>,
    /// Addresses of the system's processes, by entry host and then in the order of [`ROLES`].
    pub addresses: Vec<[ProcessAddresses; 3]>,
    /// Address of the platform's list of hosts.
    pub hosts: SocketAddr,
    forward: SocketAddr,
    links: Vec<String>,
    host_states: Vec<String>,
    operator_hash: String,
    processes: Vec<Process>,
    authority: Authority,
    dir: TempDir,
}

impl Site {
    /// Starts all processes, applies the operators' files and waits until all gates are ready.
    ///
    /// # Errors
    /// If a program is missing, or the site is not ready in time.
    pub fn spawn(layout: Layout) -> Fallible<Self> {
        let dir = tempfile::tempdir()?;
        let first = PLATFORM_PORTS + layout.host_count();
        let ports = ports::free_addresses(first + layout.entries * ENTRY_PORTS)?;
        let backends = ports[PLATFORM_PORTS..first].to_vec();
        let of_process = |role: usize, ports: &[SocketAddr]| {
            ProcessAddresses::new(&ports[role * ProcessAddresses::COUNT..])
        };
        let entries = ports[first..].chunks(ENTRY_PORTS);
        let addresses = entries.map(|ports| [0, 1, 2].map(|role| of_process(role, ports)));
        let mut site = Self {
            log: ports[0],
            addresses: addresses.collect(),
            backends,
            hosts: ports[1],
            forward: ports[2],
            links: Vec::new(),
            host_states: vec!["live".to_owned(); layout.host_count()],
            operator_hash: blake3::hash(OPERATOR_KEY.as_bytes()).to_hex().to_string(),
            processes: Vec::new(),
            authority: Authority::create(dir.path())?,
            dir,
            layout,
        };
        fs::write(site.path("operator.key"), OPERATOR_KEY)?;
        site.start_platform()?;
        for entry in 0..site.layout.entries {
            for role in ROLES {
                site.start(entry, role)?;
            }
        }
        site.configure()?;
        Ok(site)
    }

    /// Starts one of the system's processes, for instance again after it was killed.
    ///
    /// # Errors
    /// If the program is missing or a file cannot be written.
    pub fn start(&mut self, entry: usize, role: &str) -> Fallible<()> {
        let name = node_name(entry, role);
        let path = self.path(&format!("{name}.yaml"));
        fs::write(&path, self.settings(entry, role)?)?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        let log = self.path(&format!("{name}.out"));
        let process = Process::spawn(&name, &format!("mimosa-{role}"), &args, &log)?;
        self.processes.retain(|old| old.name() != name);
        self.processes.push(process);
        Ok(())
    }

    /// The process with this name, as last started.
    ///
    /// # Errors
    /// If there is no such process.
    pub fn process(&mut self, name: &str) -> io::Result<&mut Process> {
        self.processes
            .iter_mut()
            .find(|process| process.name() == name)
            .ok_or_else(|| io::Error::other(format!("no process {name}")))
    }

    /// Process ids of all processes, stand-ins included.
    #[must_use]
    pub fn process_ids(&self) -> Vec<u32> {
        self.processes.iter().map(Process::id).collect()
    }

    /// Process ids of the system's own processes, without stand-ins.
    #[must_use]
    pub fn system_ids(&self) -> Vec<u32> {
        let own = self
            .processes
            .iter()
            .filter(|process| process.name().starts_with("entry-"));
        own.map(Process::id).collect()
    }

    /// HTTP addresses of the gates, in the order of the entry hosts.
    #[must_use]
    pub fn gates(&self) -> Vec<SocketAddr> {
        self.addresses
            .iter()
            .map(|[_, _, gate]| gate.http)
            .collect()
    }

    /// Runs the operators' command line with the operator key and all fleet addresses.
    ///
    /// # Errors
    /// If the program is missing.
    pub fn ctl(&self, args: &[&str]) -> io::Result<Output> {
        let mut command = Command::new(sibling_program("mimosactl")?);
        for [fleet, _, _] in &self.addresses {
            command.arg("--fleet").arg(fleet.http.to_string());
        }
        command.arg("--key-file").arg(self.path("operator.key"));
        command.args(args).output()
    }

    /// Runs the operators' command line and returns its standard output.
    ///
    /// # Errors
    /// If the command cannot be run or fails.
    pub fn ctl_output(&self, args: &[&str]) -> Fallible<String> {
        let output = self.ctl(args)?;
        if !output.status.success() {
            let reason = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(format!("mimosactl {}: {reason}", args.join(" ")).into());
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Arguments of the load generator: all gates as targets, and a route per service and team.
    #[must_use]
    pub fn load_args(&self) -> Vec<String> {
        let targets = self.gates();
        let targets = targets
            .iter()
            .flat_map(|gate| ["--target".to_owned(), gate.to_string()]);
        let services = self.layout.services.iter();
        let routes = services.flat_map(|service| {
            let path = format!("/v1/services/{service}/requests");
            self.layout.teams.iter().flat_map(move |(team, ..)| {
                [
                    "--path".to_owned(),
                    path.clone(),
                    "--key".to_owned(),
                    Self::key(team),
                ]
            })
        });
        targets.chain(routes).collect()
    }

    /// Sets the cut on a process's link to the log: `none`, `both`, `to_target` or `to_client`.
    ///
    /// # Errors
    /// If there is no such process, or the forwarder does not accept the change.
    pub fn cut(&self, node: &str, direction: &str) -> Fallible<()> {
        let link = self.links.iter().position(|name| name == node);
        let link = link.ok_or_else(|| format!("no process {node}"))?;
        let body = format!("{{\"link\": {link}, \"cut\": \"{direction}\"}}");
        put(self.forward, "/control", &body)
    }

    /// Sets the state of a host on the platform's list, `live` or `leaving`.
    ///
    /// # Errors
    /// If there is no such host, or the list does not accept the change.
    pub fn set_host_state(&mut self, host: &str, state: &str) -> Fallible<()> {
        let index: usize = host.strip_prefix("host-").unwrap_or(host).parse()?;
        let entry = self.host_states.get_mut(index).ok_or("no such host")?;
        *entry = state.to_owned();
        self.publish_hosts()
    }

    /// API key of a team.
    #[must_use]
    pub fn key(team: &str) -> String {
        format!("key-of-{team}")
    }

    /// Temporary directory with the site's files.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Path of a file in the site's directory.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Polls `check` until it returns true; `what` describes the condition in the error.
    ///
    /// # Errors
    /// If it does not within `millis` milliseconds.
    pub fn wait_until(what: &str, millis: u64, mut check: impl FnMut() -> bool) -> Fallible<()> {
        let deadline = Instant::now() + Duration::from_millis(millis);
        while !check() {
            if Instant::now() >= deadline {
                return Err(format!("not within {millis} ms: {what}").into());
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        Ok(())
    }

    fn start_platform(&mut self) -> Fallible<()> {
        let listen = |addr: SocketAddr| ["--listen".to_owned(), addr.to_string()];
        self.spawn_standin("log", "standin-log", &listen(self.log))?;
        self.spawn_standin("hosts", "standin-hosts", &listen(self.hosts))?;
        let mut args = vec!["--control".to_owned(), self.forward.to_string()];
        for (entry, addresses) in self.addresses.iter().enumerate() {
            for (role, address) in ROLES.iter().zip(addresses) {
                self.links.push(node_name(entry, role));
                args.extend(["--tcp".to_owned(), format!("{}={}", address.log, self.log)]);
            }
        }
        self.spawn_standin("forward", "standin-forward", &args)?;
        for (index, dc) in self.layout.dcs.clone().iter().enumerate() {
            let own = self
                .backends
                .iter()
                .skip(index)
                .step_by(self.layout.dcs.len());
            let mut args: Vec<String> = own.flat_map(|addr| listen(*addr)).collect();
            args.extend(["--run-ms".to_owned(), self.layout.run_ms.to_string()]);
            self.spawn_standin(&format!("backends-{dc}"), "standin-executor", &args)?;
        }
        Ok(())
    }

    fn spawn_standin(&mut self, name: &str, program: &str, args: &[String]) -> Fallible<()> {
        let log = self.path(&format!("{name}.out"));
        self.processes
            .push(Process::spawn(name, program, args, &log)?);
        Ok(())
    }

    fn settings(&self, entry: usize, role: &str) -> Fallible<String> {
        let role_index = ROLES
            .iter()
            .position(|name| *name == role)
            .unwrap_or_default();
        let address = self.addresses[entry][role_index];
        let fleet: Vec<String> = self
            .addresses
            .iter()
            .map(|[fleet, _, _]| fleet.quic.to_string())
            .collect();
        let name = node_name(entry, role);
        let mut text = format!(
            "node: {name}\ndc: {}\nlisten: {}\nhttp: {}\nlog: http://{}\nfleet: [{}]\n",
            self.layout.dc(entry),
            address.quic,
            address.http,
            address.log,
            fleet.join(", "),
        );
        text += &self.authority.issue(&name)?;
        if let Some(machine) = self.layout.machine {
            let (memory, descriptors) = (machine.memory, machine.descriptors);
            text += &format!("limits:\n  memory_mb: {memory}\n  descriptors: {descriptors}\n");
        }
        if role == "fleet" {
            text += &format!(
                "operators: [{}]\nhosts: http://{}\n",
                self.operator_hash, self.hosts
            );
        }
        Ok(text)
    }

    /// Sends the list of hosts to its stand-in.
    fn publish_hosts(&self) -> Fallible<()> {
        let hosts = self.backends.iter().zip(&self.host_states).enumerate();
        let rows: Vec<String> = hosts
            .map(|(index, (addr, state))| {
                let dc = self.layout.dc(index);
                let rack = self.layout.rack(index);
                format!(
                    r#"{{"name":"host-{index}","dc":"{dc}","rack":"{rack}","addr":"{addr}","state":"{state}"}}"#
                )
            })
            .collect();
        let body = format!("[{}]", rows.join(","));
        put(self.hosts, "/control/hosts", &body)
    }

    fn configure(&self) -> Fallible<()> {
        Self::wait_until("the list of hosts answers", READY_TIMEOUT_MS, || {
            self.publish_hosts().is_ok()
        })?;
        fs::write(self.path("table.csv"), self.layout.table())?;
        fs::write(self.path("pools.csv"), self.layout.pools())?;
        fs::write(self.path("hosts.csv"), self.layout.hosts(&self.backends))?;
        Self::wait_until(
            "a fleet process answers operators",
            READY_TIMEOUT_MS,
            || {
                self.ctl(&["status"])
                    .is_ok_and(|output| output.status.success())
            },
        )?;
        for (command, file) in [
            ("apply", "table.csv"),
            ("pools", "pools.csv"),
            ("hosts", "hosts.csv"),
        ] {
            self.ctl_output(&[command, &self.path(file).display().to_string()])?;
        }
        for (team, ..) in &self.layout.teams {
            let file = self.path(&format!("{team}.key"));
            fs::write(&file, Self::key(team))?;
            self.ctl_output(&[
                "key",
                "grant",
                team,
                "--key-file",
                &file.display().to_string(),
            ])?;
        }
        Self::wait_until("all gates are ready", READY_TIMEOUT_MS, || {
            self.gates().iter().all(|gate| {
                http::send(*gate, "GET", "/readyz", &[], "")
                    .is_ok_and(|response| response.status == 200)
            })
        })
    }
}

/// Name of one of the system's processes.
#[must_use]
pub fn node_name(entry: usize, role: &str) -> String {
    format!("entry-{entry}-{role}")
}

/// Puts a change to a stand-in of the platform.
fn put(addr: SocketAddr, path: &str, body: &str) -> Fallible<()> {
    let response = http::send(addr, "PUT", path, &[], body)?;
    if response.status == 200 || response.status == 204 {
        return Ok(());
    }
    let reason = response.body;
    Err(format!("{path} was refused: {} {reason}", response.status).into())
}
