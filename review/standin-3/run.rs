//! Starts `mimosa-node` as separate processes, and calls it as clients do.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::exec::World;
use crate::http::{Server, call};
use crate::json::{J, parse};

pub const HOST: &str = "pule25.example";
pub const KEY: &str = "sjnbanfqasnmgkcuyj8p";
pub const PREFIX: &str = "/puxa400/";

/// All processes that were started, so that each way out of a case ends them.
struct Started {
    children: Vec<Arc<Mutex<Child>>>,
    over: bool,
}

static STARTED: Mutex<Started> = Mutex::new(Started {
    children: Vec::new(),
    over: false,
});

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends all processes that were started; no more are started from now on.
pub fn end_all() {
    let mut started = locked(&STARTED);
    started.over = true;
    for child in started.children.drain(..) {
        end(&mut locked(&child));
    }
    let _ = std::fs::remove_dir_all(folder_path());
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// A process of the system; ended when dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    path: PathBuf,
    child: Arc<Mutex<Child>>,
}

pub fn free_port() -> u16 {
    // Below the ports that outgoing connections get.
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 300) as u16 * 60;
    loop {
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let port = 10_000 + (first + number) % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// A folder for what the processes of this case write, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = folder_path();
        let _ = std::fs::create_dir_all(&path);
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Node {
    /// Starts a process with the command of the deploy file, with settings like those of a small
    /// deployment, and waits until it is ready.
    pub fn open(world: &World, folder: &Folder, name: &str, store: &Server) -> Option<Self> {
        let (front, ready) = (free_port(), free_port());
        let (control, metrics) = (free_port(), free_port());
        let path = folder.0.join(format!("{name}.yaml"));
        let text = format!(
            "node: \"{name}\"\nrole: \"node\"\nmachine_class: \"front\"\nip: \"127.0.0.1\"\nzone: \"caerdydd-a\"\n\
             listen:\n  front: \"127.0.0.1:{front}\"\n  ready: \"127.0.0.1:{ready}\"\n  \
             control: \"127.0.0.1:{control}\"\n  metrics: \"127.0.0.1:{metrics}\"\n\
             bootstrap: true\nheartbeat_ms: 1500\n\
             limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n\
             bounds:\n  contact_ms: 3000\n  hold_max_ms: 6000\n  stop_ms: 200\n  gang_ms: 3000\n\
             orders: \"call\"\n\
             platform:\n  address: \"{}\"\n  form: \"log\"\n  parts: 12\n  record_bytes: 262144\n  \
             call_bytes: 2097152\n  keep_s: 300\n  part_mb: 200\n  ttl_min_ms: 1000\n",
            store.addr
        );
        std::fs::write(&path, text).ok()?;
        let child = launch(&path)?;
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let node = Self {
            name: name.to_owned(),
            front: local(front),
            ready: local(ready),
            path,
            child,
        };
        world.note(format!(
            "{name} started, process {}",
            locked(&node.child).id()
        ));
        let ready = wait(Duration::from_secs(15), || {
            let answer = call(
                node.ready,
                "GET",
                "/api/ready",
                &[("Host", "x")],
                "",
                Duration::from_millis(500),
            );
            answer.is_some_and(|(status, _)| status == 200)
        });
        ready.then_some(node)
    }

    /// Memory of the process in MB, as the system counts it; 0 if it has ended.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", locked(&self.child).id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        end(&mut locked(&self.child));
    }

    /// Starts it again.
    pub fn again(&mut self) {
        if let Some(child) = launch(&self.path) {
            self.child = child;
        }
    }

    /// Sends a client's call; `None` without an answer.
    pub fn send(&self, world: &World, method: &str, rest: &str, body: &str) -> Option<(u16, J)> {
        self.send_to(world, method, &format!("{PREFIX}{rest}"), KEY, body)
    }

    /// Sends a client's call to a path, with a key.
    pub fn send_to(
        &self,
        world: &World,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, J)> {
        send_at(self.front, world, method, path, key, body)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a client's call to an address; `None` without an answer.
pub fn send_at(
    front: SocketAddr,
    world: &World,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Option<(u16, J)> {
    let headers = [
        ("Host", HOST),
        ("X-Credential", key),
        ("X-Deadline-Ms", "3000"),
        ("Content-Type", "application/json"),
    ];
    let answer = call(
        front,
        method,
        path,
        &headers,
        body,
        Duration::from_millis(3_000),
    );
    let answer = answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
    world.note(format!("client {method} {path} {body} -> {answer:?}"));
    answer.map(|(status, body)| (status, parse(body.as_bytes())))
}

fn launch(path: &PathBuf) -> Option<Arc<Mutex<Child>>> {
    let mut started = locked(&STARTED);
    if started.over {
        return None;
    }
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path.with_extension("log"))
        .ok()?;
    let program = std::env::current_dir()
        .ok()?
        .join("target/release/mimosa-node");
    let child = Command::new(program)
        .env("MIMOSASTEP_NODE_FILE", path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn()
        .ok()?;
    let child = Arc::new(Mutex::new(child));
    started.children.push(child.clone());
    Some(child)
}

/// Waits until `done` holds; returns whether it did in time.
pub fn wait(limit: Duration, done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    done()
}

/// A configuration with one queue and one pool.
pub fn config(version: u64, route: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"{route}\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\
         \"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":600,\"priority\":0,\"service\":\"captions\",\
         \"max_attempts\":4,\"stretch\":1.6,\"public\":false}}],\
         \"services\":[{{\"name\":\"captions\",\"admission_control\":true,\"spare\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144}},\
         \"tenants\":[{{\"name\":\"cugo130\",\"api_keys\":[\"{KEY}\"],\"weight\":83,\
         \"at_most\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}"
    )
}

pub const OTHER_PREFIX: &str = "/wuhu344/";
pub const OTHER_KEY: &str = "jbvk9m68k7b2ex5wa5xw";

/// A configuration with two queues, each of a pool and a tenant of its own.
pub fn two_queues(version: u64) -> String {
    let text = config(version, "r-tyiikdr", 3_000);
    let route = format!(
        "{{\"name\":\"r-w63is47\",\"host\":\"{HOST}\",\"path_prefix\":\"{OTHER_PREFIX}\",\"kind\":\"unsafe\",\
         \"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"plaques\",\"max_attempts\":4,\
         \"stretch\":1.6,\"public\":false}}"
    );
    let pool = "{\"name\":\"plaques\",\"admission_control\":true,\"spare\":false}";
    let tenant = format!(
        "{{\"name\":\"cugo131\",\"api_keys\":[\"{OTHER_KEY}\"],\"weight\":83,\
         \"at_most\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}"
    );
    let text = text.replace("\"routes\":[", &format!("\"routes\":[{route},"));
    let text = text.replace("\"services\":[", &format!("\"services\":[{pool},"));
    text.replace("\"tenants\":[", &format!("\"tenants\":[{tenant},"))
}

/// A store and a world with that configuration.
pub fn platform() -> Option<(Arc<World>, Server)> {
    let world = World::new();
    world
        .store
        .put("keyed.op", "config", &config(3, "r-tyiikdr", 3_000));
    let server = Server::open(0, world.store.handler()).ok()?;
    Some((world, server))
}
