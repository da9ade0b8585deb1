//! The project's program as a process of its own, and its address of the store.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/mimosa-node";

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// A node; killed when dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

/// What the settings of all nodes have in common.
pub struct Place<'a> {
    pub folder: &'a Path,
    pub store: &'a Store,
    pub record: &'a Arc<Record>,
    pub cpu_share: f64,
    pub extra: &'a str,
}

/// Second and third number of the loopback addresses of this case, free at the moment.
fn free_net(count: u8) -> (u8, u8) {
    let id = std::process::id();
    for offset in 0.. {
        let number = id.wrapping_add(offset * 7_919);
        let net = ((number / 250 % 200 + 20) as u8, (number % 250 + 1) as u8);
        let free = (1..=count).all(|host| {
            [8_340, 8_343, 8_345, 7_001].iter().all(|port| {
                TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, host), *port)).is_ok()
            })
        });
        if free {
            return net;
        }
    }
    (0, 1)
}

/// Starts a program that is killed when this one ends, however that happens.
fn spawn_bound(command: &mut Command) -> std::io::Result<Child> {
    let bind = || {
        // SAFETY: the call has no pointers and changes only the new process.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
        Ok(())
    };
    // SAFETY: `bind` makes one system call and allocates nothing.
    unsafe { command.pre_exec(bind) }.spawn()
}

impl Node {
    /// Prepares nodes named `node-1`, `node-2` and so on; they don't run yet.
    pub fn prepare(count: u8, place: &Place) -> std::io::Result<Vec<Self>> {
        let net = free_net(count);
        let hosts = (1..=count).map(|host| Ipv4Addr::new(127, net.0, net.1, host));
        let hosts: Vec<Ipv4Addr> = hosts.collect();
        let seeds: Vec<String> = hosts
            .iter()
            .map(|ip| format!("  - \"{ip}:8345\"\n"))
            .collect();
        let mut nodes = Vec::new();
        for (at, ip) in hosts.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let store = listener.local_addr()?;
            http::serve(listener, place.store.handler());
            let name = format!("node-{}", at + 1);
            let settings = place.folder.join(format!("{name}.yaml"));
            fs::write(
                &settings,
                format!(
                    "node: \"{name}\"\nrole: \"node\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
                     ip: \"{ip}\"\nzone: \"zone-a\"\nregion: \"region-a\"\nlisten:\n  front: \"{ip}:8340\"\n  \
                     ready: \"{ip}:8343\"\n  control: \"{ip}:8345\"\nseeds:\n{}bootstrap: true\nlimits:\n  \
                     cpu_share: {}\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\nheartbeat_ms: 1500\n\
                     bounds:\n  contact_ms: 3000\n  hold_max_ms: 6000\n  stop_ms: 200\n  lease_ms: 3000\n\
                     orders: \"call\"\nplatform:\n  address: \"{store}\"\n  form: \"log\"\n  parts: 12\n  \
                     append_ms: 2.0\n  record_bytes: 262144\n  call_bytes: 2097152\n  keep_s: 300\n  part_mb: 200\n  \
                     ttl_min_ms: 1000\n{}",
                    seeds.concat(),
                    place.cpu_share,
                    place.extra
                ),
            )?;
            nodes.push(Self {
                front: SocketAddr::from((*ip, 8_340)),
                ready: SocketAddr::from((*ip, 8_343)),
                settings,
                log: place.folder.join(format!("{name}.log")),
                child: None,
                record: place.record.clone(),
                name,
            });
        }
        Ok(nodes)
    }

    /// Starts the program.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.env("MIMOSASTEP_NODE_FILE", &self.settings);
        command.stderr(log.try_clone()?).stdout(log);
        let child = spawn_bound(&mut command)?;
        self.record
            .note(&self.name, &format!("started, process {}", child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the program.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the program.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&self.name, "killed");
        }
    }

    /// Whether the program answers the readiness probe with 200.
    pub fn is_ready(&self) -> bool {
        let limit = std::time::Duration::from_millis(500);
        let sent = http::call(self.ready, "GET", "/api/ready", &[], "", limit);
        sent.is_some_and(|response| response.status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
