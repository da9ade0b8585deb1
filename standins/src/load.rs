//! A load generator for the product, or for a backend server directly.

use std::cell::Cell;
use std::cell::RefCell;
use std::error::Error;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::sleep;
use compio::time::sleep_until;
use compio::time::timeout_at;
use cyper_core::HyperStream;
use futures_util::future::join_all;
use futures_util::future::select;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use serde_json::Value;

use crate::load_stats::LoadStats;
use crate::load_stats::Outcome;
use crate::load_stats::Report;
use crate::query::header_number;

/// Time after a request's deadline during which its response is still awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Interval between readiness probes, and the timeout of a single probe.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

/// Pause of a caller after a failure, so that it does not spin on a target that is down.
const FAILURE_PAUSE: Duration = Duration::from_millis(10);

type Failure = Box<dyn Error + Send + Sync>;
type Sender = SendRequest<Full<Bytes>>;

/// The path of a request and the API key that it carries.
#[derive(Clone)]
pub struct Route {
    /// The request path.
    pub path: String,
    /// The API key; `None` when a backend server is addressed directly.
    pub key: Option<String>,
}

/// Parameters of a load.
pub struct Plan {
    /// Addresses over which callers are distributed in turn.
    pub targets: Vec<SocketAddr>,
    /// Routes over which requests are distributed in turn.
    pub routes: Vec<Route>,
    /// Number of callers; each has one request in flight at a time.
    pub callers: u64,
    /// Total number of requests; `None` for no limit.
    pub requests: Option<u64>,
    /// Time after which no request is started; `None` for no limit.
    pub end: Option<Instant>,
    /// Time from the start of a request to its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Task run time requested, in milliseconds; `None` leaves it to the backend server.
    pub run_ms: Option<u64>,
    /// Length of each request's body, in bytes.
    pub body_bytes: usize,
    /// Whether requests that are reported as not run are sent again, until their deadline.
    pub retry: bool,
    /// Total requests per second (open loop); `None` sends as fast as responses arrive.
    pub pace: Option<f64>,
}

/// A running load.
pub struct Load {
    plan: Plan,
    start: Instant,
    next: Cell<u64>,
    stats: RefCell<LoadStats>,
    ready: RefCell<Vec<bool>>,
}

struct Call<'a> {
    route: &'a Route,
    request_id: String,
    body: Bytes,
    deadline: Instant,
    attempts: u64,
}

#[derive(Default)]
struct Caller {
    target: usize,
    sender: Option<Sender>,
}

impl Load {
    /// Creates a load that counts its outcomes in `stats`; its time starts now.
    pub fn new(plan: Plan, stats: LoadStats) -> Self {
        Self {
            ready: RefCell::new(vec![true; plan.targets.len()]),
            plan,
            start: Instant::now(),
            next: Cell::new(0),
            stats: RefCell::new(stats),
        }
    }

    /// Sends all requests of the plan.
    pub async fn run(&self) {
        let callers = join_all((0..self.plan.callers).map(|caller| self.run_caller(caller)));
        select(pin!(callers), pin!(self.poll_readiness())).await;
    }

    /// Probes the readiness of the targets, as a load balancer does, if there are several.
    async fn poll_readiness(&self) {
        if self.plan.targets.len() < 2 || self.plan.routes.iter().any(|r| r.key.is_none()) {
            return pending().await;
        }
        loop {
            let probes = self.plan.targets.iter().map(|target| is_ready(*target));
            let ready = join_all(probes).await;
            self.ready.replace(ready);
            sleep(READINESS_INTERVAL).await;
        }
    }

    /// Index of the target for a caller whose own is `first`: that one, or the next that is ready.
    fn target(&self, first: usize) -> usize {
        let ready = self.ready.borrow();
        let indices = (0..ready.len()).map(|step| (first + step) % ready.len());
        indices
            .into_iter()
            .find(|index| ready[*index])
            .unwrap_or(first % ready.len())
    }

    /// Returns the outcomes of the requests so far.
    pub fn report(&self) -> Report {
        self.stats.borrow().report(self.start.elapsed())
    }

    /// Whether any response did not belong to its request.
    pub fn has_wrong(&self) -> bool {
        self.stats.borrow().has_wrong()
    }

    async fn run_caller(&self, caller_index: u64) {
        let mut caller = Caller {
            target: caller_index as usize,
            sender: None,
        };
        let mut schedule_index = caller_index;
        loop {
            let start_time = self.start_time(schedule_index);
            if self.plan.end.is_some_and(|end| start_time >= end) {
                return;
            }
            let Some(route) = self.next_route() else {
                return;
            };
            sleep_until(start_time).await;
            let outcome = self.call(&mut caller, route, start_time).await;
            self.stats.borrow_mut().count(outcome, start_time.elapsed());
            schedule_index += self.plan.callers;
        }
    }

    /// When the request with this schedule index is due. The latency of a late request counts from
    /// then too.
    fn start_time(&self, schedule_index: u64) -> Instant {
        self.plan.pace.map_or_else(Instant::now, |pace| {
            self.start + Duration::from_secs_f64(schedule_index as f64 / pace)
        })
    }

    fn next_route(&self) -> Option<&Route> {
        let number = self.next.get();
        if self.plan.requests.is_some_and(|limit| number >= limit) {
            return None;
        }
        self.next.set(number + 1);
        let routes = &self.plan.routes;
        routes.get(number as usize % routes.len().max(1))
    }

    async fn call(&self, caller: &mut Caller, route: &Route, start_time: Instant) -> Outcome {
        let request_id = new_request_id();
        let mut call = Call {
            route,
            body: request_id
                .bytes()
                .cycle()
                .take(self.plan.body_bytes)
                .collect(),
            request_id,
            deadline: start_time + Duration::from_millis(self.plan.deadline_ms),
            attempts: 0,
        };
        loop {
            call.attempts += 1;
            let response = self.send(caller, &call).await;
            let response = match response {
                Ok(response) => response,
                Err(failure) => {
                    caller.advance_target(self.plan.targets.len());
                    sleep(FAILURE_PAUSE).await;
                    let unsent = failure.downcast_ref::<ConnectError>().is_some();
                    if unsent && Instant::now() < call.deadline {
                        continue;
                    }
                    return Outcome::Failed(failure.to_string());
                }
            };
            match retry_at(&response).filter(|at| self.plan.retry && *at < call.deadline) {
                Some(at) => sleep_until(at).await,
                None => return call.classify(&response),
            }
            caller.advance_target(self.plan.targets.len());
            self.stats.borrow_mut().count_retry();
        }
    }

    async fn send(&self, caller: &mut Caller, call: &Call<'_>) -> Result<Response<Bytes>, Failure> {
        let request = self.request(call)?;
        let index = self.target(caller.target);
        let address = self.plan.targets[index];
        timeout_at(call.deadline + ANSWER_GRACE, async {
            let mut sender = match caller.take_ready().await {
                Some(sender) => sender,
                None => connect(address).await?,
            };
            let (head, body) = sender.send_request(request).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            caller.sender = Some(sender);
            Ok(Response::from_parts(head, body))
        })
        .await?
    }

    fn request(&self, call: &Call<'_>) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = remaining.as_millis() as u64;
        let mut request = Request::post(&call.route.path)
            .header("host", "standin")
            .header("x-request-id", &call.request_id);
        request = match &call.route.key {
            Some(key) => request
                .header("authorization", format!("Bearer {key}"))
                .header("x-deadline-ms", remaining_ms)
                .header("x-idempotent", "false"),
            None => request
                .header(
                    "x-attempt-id",
                    format!("{}/{}", call.request_id, call.attempts),
                )
                .header("x-team", "load")
                .header("x-lease-ms", remaining_ms),
        };
        if let Some(run_ms) = self.plan.run_ms {
            request = request.header("x-run-ms", run_ms);
        }
        request.body(Full::new(call.body.clone()))
    }
}

impl Caller {
    /// Takes the kept connection if it still accepts requests.
    async fn take_ready(&mut self) -> Option<Sender> {
        let mut sender = self.sender.take()?;
        sender.ready().await.is_ok().then_some(sender)
    }

    /// Switches to the next target if there are several.
    fn advance_target(&mut self, targets: usize) {
        if targets > 1 {
            self.target += 1;
            self.sender = None;
        }
    }
}

impl Call<'_> {
    fn classify(&self, response: &Response<Bytes>) -> Outcome {
        if response.status() != StatusCode::OK {
            return Outcome::Refused(response.status().as_u16());
        }
        let body = response.body();
        let rest = body.strip_prefix(self.request_id.as_bytes());
        match rest.and_then(|rest| rest.strip_prefix(b":")) {
            Some(rest) if rest == self.body => Outcome::Answered,
            _ => Outcome::Wrong,
        }
    }
}

/// When to send a request again that certainly was not run; `None` if it must not be retried.
fn retry_at(response: &Response<Bytes>) -> Option<Instant> {
    let refusals = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if !refusals.contains(&response.status()) {
        return None;
    }
    let seconds = header_number(response.headers(), "retry-after")?;
    let body: Value = serde_json::from_slice(response.body()).ok()?;
    (body["error"]["verdict"] == "not-run").then(|| Instant::now() + Duration::from_secs(seconds))
}

/// No connection could be opened, so nothing was sent.
///
/// The request goes to another target, as the platform's load balancer would send it.
#[derive(Debug)]
struct ConnectError(std::io::Error);

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no connection: {}", self.0)
    }
}

impl Error for ConnectError {}

async fn connect(address: SocketAddr) -> Result<Sender, Failure> {
    let stream = TcpStream::connect(address).await.map_err(ConnectError)?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await?;
    compio::runtime::spawn(connection).detach();
    Ok(sender)
}

/// Returns a random UUID (version 4).
fn new_request_id() -> String {
    let random: u128 = rand::random();
    let bits = random & !(0xf << 76) & !(0x3 << 62) | 0x4 << 76 | 0x2 << 62;
    let hex = format!("{bits:032x}");
    let parts = [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ];
    parts.join("-")
}

/// Whether a target reports that it accepts requests; one without a readiness path counts as ready.
async fn is_ready(target: SocketAddr) -> bool {
    let probe = async {
        let request = Request::get("/readyz").header("host", "standin");
        let mut sender = connect(target).await?;
        let response = sender.send_request(request.body(Full::default())?).await?;
        Ok::<_, Failure>(response.status() != StatusCode::SERVICE_UNAVAILABLE)
    };
    let ready = timeout_at(Instant::now() + READINESS_INTERVAL, probe).await;
    ready.is_ok_and(|ready| ready.unwrap_or(false))
}
