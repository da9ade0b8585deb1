//! A small site: the store, executors, nodes and a client.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::advice;
use crate::cloud::Cloud;
use crate::executor::Executor;
use crate::executor::Sizes;
use crate::executor::Span;
use crate::executor::Spans;
use crate::executor::Traits;
use crate::http;
use crate::json;
use crate::json::Json;
use crate::json::table;
use crate::node::Node;
use crate::node::Place;
use crate::record::Record;
use crate::store::Store;

/// Host name of the site's routes.
const HOST: &str = "site.example";
/// Prefix of its only route.
const PREFIX: &str = "/captions/";
/// Time that a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// A step of a job.
#[derive(Debug, Clone, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    pub estimate_ms: u64,
    pub affinity: &'static str,
    pub daemon: bool,
}

/// A job.
#[derive(Debug, Clone, Default)]
pub struct Job {
    pub spec: String,
    pub steps: Vec<Step>,
    pub repetitions: u64,
    pub start_ms: u64,
    pub interval_ms: u64,
}

/// A running site.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Store,
    pub executors: Vec<Arc<Executor>>,
    pub nodes: Vec<Node>,
    pub spans: Spans,
    pub cloud: Cloud,
    sizes: Sizes,
    folder: PathBuf,
}

/// What a site is made of.
pub struct Layout {
    pub nodes: u8,
    pub cpu_share: f64,
    pub executors: Vec<Traits>,
    /// Executors on which the advice service allows steps; without them the route needs no advice.
    pub allowed: Vec<String>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            nodes: 3,
            cpu_share: 0.25,
            executors: Vec::new(),
            allowed: Vec::new(),
        }
    }
}

/// Why a case couldn't run.
pub type Unable = String;

impl Site {
    /// Opens a site and waits until its nodes are ready.
    pub fn open(layout: Layout, record: Arc<Record>) -> Result<Self, Unable> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|err| err.to_string())?;
        let store = Store::new();
        let services: BTreeSet<String> = layout
            .executors
            .iter()
            .map(|traits| traits.service.clone())
            .collect();
        let advised = !layout.allowed.is_empty();
        store.put("keyed.op", "config", &config(&services, advised));
        let (sizes, spans) = (Sizes::default(), Spans::default());
        let executors = layout
            .executors
            .into_iter()
            .map(|traits| Executor::spawn(traits, &store, &sizes, &spans, &record));
        let executors: Result<Vec<_>, _> = executors.collect();
        let executors = executors.map_err(|err| err.to_string())?;
        let cloud = Cloud::open(&executors, &store, &sizes, &spans, &record);
        let (cloud, addr) = cloud.map_err(|err| err.to_string())?;
        let mut extra = format!(
            "cloud:\n  address: \"{addr}\"\n  rate_per_s: 64.0\n  duties: []\n  duty_per_s: 64.0\n"
        );
        if advised {
            let addr = advice::open(layout.allowed, &record).map_err(|err| err.to_string())?;
            extra += &format!("advice: \"{addr}\"\n");
        }
        let place = Place {
            folder: &folder,
            store: &store,
            record: &record,
            cpu_share: layout.cpu_share,
            extra: &extra,
        };
        let nodes = Node::prepare(layout.nodes, &place).map_err(|err| err.to_string())?;
        let mut site = Self {
            executors,
            cloud,
            record,
            store,
            nodes,
            spans,
            sizes,
            folder,
        };
        for node in &mut site.nodes {
            node.start().map_err(|err| err.to_string())?;
        }
        site.wait_for("all nodes are ready", Duration::from_secs(20), |site| {
            site.nodes.iter().all(Node::is_ready)
        })?;
        Ok(site)
    }

    /// Waits until a condition holds.
    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), Unable> {
        let until = Instant::now() + limit;
        while !holds(self) {
            if Instant::now() >= until {
                return Err(format!("timed out: {what}"));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Index of the node that leads, by the store.
    pub fn leader(&self) -> Option<usize> {
        let holder = self.store.last_holder()?;
        let named = |node: &Node| holder.starts_with(&format!("{}/", node.name));
        self.nodes.iter().position(named)
    }

    /// Sends a request of a client; returns the status and the state in the body, if any.
    pub fn call(&self, node: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("x-credential", "key-1"),
            ("x-deadline-ms", "3000"),
        ];
        let node = &self.nodes[node];
        let path = format!("{PREFIX}{id}");
        let response = http::call(node.front, method, &path, &headers, body, PATIENCE);
        let answer = response.map(|response| {
            let body = json::parse(&response.body).unwrap_or(Json::Null);
            let state = body.get("state").text().unwrap_or_default().to_owned();
            (response.status, state)
        });
        let text = match &answer {
            Some((status, state)) => format!("{status} {state}"),
            None => "no answer".to_owned(),
        };
        self.record.note(
            "client",
            &format!("{method} {path} at {}: {text}", node.name),
        );
        answer
    }

    /// Submits a job; returns the status.
    pub fn submit(&self, node: usize, id: &str, job: &Job) -> Option<u16> {
        let sizes = job.steps.iter().map(|step| (step.cpu, step.mem_mb));
        let known = sizes.collect();
        self.sizes
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .insert(id.to_owned(), known);
        self.call(node, "POST", id, &job.body())
            .map(|(status, _)| status)
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Span> {
        lock(&self.spans).clone()
    }

    /// Ends all processes.
    pub fn close(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Job {
    fn body(&self) -> String {
        let steps = self.steps.iter().map(|step| {
            let mut fields = vec![
                ("count".to_owned(), step.count.into()),
                ("cpu".to_owned(), step.cpu.into()),
                ("mem_mb".to_owned(), step.mem_mb.into()),
                ("estimate_ms".to_owned(), step.estimate_ms.into()),
            ];
            if !step.affinity.is_empty() {
                fields.push(("affinity".to_owned(), step.affinity.into()));
            }
            if step.daemon {
                fields.push(("daemon".to_owned(), true.into()));
            }
            Json::Table(fields)
        });
        let steps: Vec<Json> = steps.collect();
        let mut fields = vec![
            ("spec".to_owned(), self.spec.as_str().into()),
            ("steps".to_owned(), Json::List(steps)),
        ];
        if self.repetitions > 0 {
            fields.push(("repetitions".to_owned(), self.repetitions.into()));
            fields.push(("start_time_ms".to_owned(), self.start_ms.into()));
            fields.push(("interval_ms".to_owned(), self.interval_ms.into()));
        }
        Json::Table(fields).to_string()
    }
}

fn config(services: &BTreeSet<String>, advised: bool) -> Json {
    let mut route = vec![
        ("name", "r-1".into()),
        ("host", HOST.into()),
        ("path_prefix", PREFIX.into()),
        ("kind", "unsafe".into()),
        ("timeout_ms", 3_000_u64.into()),
        ("target_latency_ms", 600_u64.into()),
        ("priority", 0_u64.into()),
        ("service", "captions".into()),
        ("max_attempts", 2_u64.into()),
        ("stretch", Json::Number(1.6)),
        ("public", false.into()),
    ];
    if advised {
        let advice = table([
            ("decide_ms", advice::DECIDE_MS.into()),
            ("each_ms", advice::EACH_MS.into()),
            ("valid_ms", advice::VALID_MS.into()),
        ]);
        route.push(("advice", advice));
    }
    let route = route
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value));
    let route = Json::Table(route.collect());
    let services = services.iter().map(|name| {
        table([
            ("name", name.as_str().into()),
            ("admission_control", true.into()),
            ("spare", false.into()),
        ])
    });
    let none = || Json::from(0_u64);
    let at_most = table([("cpu", none()), ("mem_mb", none()), ("gpu", none())]);
    let tenant = table([
        ("name", "tenant-1".into()),
        ("api_keys", vec!["key-1"].into()),
        ("weight", 1_000_u64.into()),
        ("at_most", at_most),
    ]);
    table([
        ("version", 3_u64.into()),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(services.collect())),
        ("limits", table([("max_body_bytes", 262_144_u64.into())])),
        ("tenants", Json::List(vec![tenant])),
    ])
}

/// Whether a job has no run at `at`.
fn is_still(runs: &[Span], job: &str, at: Duration) -> bool {
    let of_job = runs.iter().filter(|run| run.task.starts_with(job));
    of_job
        .into_iter()
        .all(|run| at < run.from || run.to.is_some_and(|to| to <= at))
}

/// Longest time up to now, at most `limit`, for which a job has had no run.
pub fn still_for(site: &Site, job: &str, limit: Duration) -> Duration {
    let now = site.record.elapsed();
    let runs = site.runs();
    let step = Duration::from_millis(20);
    let mut still = Duration::ZERO;
    while still < limit && is_still(&runs, job, now - still) {
        still += step;
    }
    still
}

/// Groups runs by task.
pub fn by_task(runs: &[Span]) -> BTreeMap<&str, Vec<&Span>> {
    let mut tasks: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    for run in runs {
        tasks.entry(&run.task).or_default().push(run);
    }
    tasks
}
