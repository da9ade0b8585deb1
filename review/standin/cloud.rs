//! The platform's management of machines: lists them and takes them down for upkeep.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use crate::executor::Executor;
use crate::executor::Sizes;
use crate::executor::Spans;
use crate::executor::Traits;
use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json;
use crate::json::Json;
use crate::json::table;
use crate::record::Record;
use crate::store::Store;

/// Time that an upkeep takes, `upkeep_s`.
const UPKEEP_TIME: Duration = Duration::from_millis(2_000);

struct Machine {
    traits: Traits,
    executor: Arc<Executor>,
    state: &'static str,
    fence: u64,
    waves: Vec<u64>,
    lives: u32,
}

struct State {
    /// No call gets an answer; those that arrive are carried out.
    silent: bool,
    machines: BTreeMap<String, Machine>,
}

/// The management of machines; clones share its state.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    store: Store,
    sizes: Sizes,
    spans: Spans,
    record: Arc<Record>,
}

impl Cloud {
    /// Manages the machines of these executors; returns its address too.
    pub fn open(
        executors: &[Arc<Executor>],
        store: &Store,
        sizes: &Sizes,
        spans: &Spans,
        record: &Arc<Record>,
    ) -> std::io::Result<(Self, SocketAddr)> {
        let machines = executors.iter().map(|executor| {
            let machine = Machine {
                traits: executor.traits.clone(),
                executor: executor.clone(),
                state: "up",
                fence: 0,
                waves: Vec::new(),
                lives: 1,
            };
            (executor.traits.machine.clone(), machine)
        });
        let state = State {
            silent: false,
            machines: machines.collect(),
        };
        let cloud = Self {
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            sizes: sizes.clone(),
            spans: spans.clone(),
            record: record.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let serving = cloud.clone();
        http::serve(listener, Arc::new(move |request| serving.answer(&request)));
        Ok((cloud, addr))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Begins or ends an outage in which no call gets an answer.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
        let text = if silent { "silent" } else { "answers again" };
        self.record.note("cloud", text);
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let response = match request.path.as_str() {
            "/api/machines" => self.list(),
            "/api/machine-upkeep" => self.upkeep(request),
            // No case needs a move: there is no spare pool.
            "/api/machine-move" => Response::raw(429, Vec::new()),
            _ => Response::raw(404, Vec::new()),
        };
        if self.lock().silent {
            // The caller gives up long before that.
            thread::sleep(Duration::from_secs(10));
            return None;
        }
        Some(response)
    }

    fn list(&self) -> Response {
        let state = self.lock();
        let rows = state.machines.iter().map(|(name, machine)| {
            let traits = &machine.traits;
            let capacity = table([
                ("cpu", traits.cpu.into()),
                ("mem_mb", traits.mem_mb.into()),
                ("gpu", 0_u64.into()),
            ]);
            table([
                ("machine", name.as_str().into()),
                ("pool", traits.service.as_str().into()),
                ("state", machine.state.into()),
                ("zone", "zone-a".into()),
                ("labels", vec!["a", traits.rack.as_str()].into()),
                ("capacity", capacity),
                ("id", machine.executor.traits.id.as_str().into()),
            ])
        });
        let rows = Json::List(rows.collect());
        Response::json(200, &table([("machines", rows)]))
    }

    fn upkeep(&self, request: &Request) -> Response {
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let name = body.get("machine").text().unwrap_or_default().to_owned();
        let wave = body.get("wave").whole().unwrap_or(0);
        let fence = request
            .header("x-fencing-token")
            .and_then(|text| text.parse().ok());
        let holder = request.header("x-lease-holder").unwrap_or_default();
        let mut state = self.lock();
        let silent = state.silent;
        let Some(machine) = state.machines.get_mut(&name) else {
            return Response::raw(400, Vec::new());
        };
        let fence: u64 = fence.unwrap_or(0);
        let refuse = |reason: &str| Response::json(409, &table([("reason", reason.into())]));
        let (response, text) = if fence < machine.fence {
            (refuse("fence"), "refused: fence")
        } else if machine.waves.contains(&wave) {
            (Response::json(200, &table([])), "200, already done")
        } else if machine.state != "up" {
            (refuse("busy"), "refused: busy")
        } else {
            machine.waves.push(wave);
            machine.state = "upkeep";
            machine.executor.terminate();
            self.store.unregister(&machine.executor.traits.id);
            let cloud = self.clone();
            let name = name.clone();
            thread::spawn(move || cloud.bring_up(&name));
            (Response::json(200, &table([])), "200, begun")
        };
        machine.fence = machine.fence.max(fence);
        let lost = if silent { "; the answer is lost" } else { "" };
        self.record.note(
            "cloud",
            &format!("upkeep of {name}, wave {wave}, by {holder} with fence {fence}: {text}{lost}"),
        );
        response
    }

    /// Starts a new executor on a machine after its upkeep.
    fn bring_up(&self, name: &str) {
        thread::sleep(UPKEEP_TIME);
        let mut state = self.lock();
        let Some(machine) = state.machines.get_mut(name) else {
            return;
        };
        machine.lives += 1;
        let traits = Traits {
            id: format!("{}-{}", machine.traits.id, machine.lives),
            ..machine.traits.clone()
        };
        let id = traits.id.clone();
        let spawned = Executor::spawn(traits, &self.store, &self.sizes, &self.spans, &self.record);
        if let Ok(executor) = spawned {
            machine.executor = executor;
            machine.state = "up";
            self.record
                .note("cloud", &format!("{name} is up again with executor {id}"));
        }
    }
}
