//! The steps of a scenario.

/// A fault switch of a stand-in, as its control path accepts it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Switch {
    /// Name of the switch.
    pub name: String,
    /// JSON value of the switch.
    pub value: String,
}

/// A load that runs in the background.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSpec {
    /// Name by which later steps refer to the load.
    pub name: String,
    /// Total number of requests.
    pub requests: u64,
    /// Requests per second.
    pub pace: u64,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Additional arguments of the load generator.
    pub extra: Vec<String>,
}

/// How a measured number has to compare with the expected one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Equal to it.
    Equal,
    /// Equal to or above it.
    AtLeast,
    /// Equal to or below it.
    AtMost,
}

impl Bound {
    /// Whether `actual` meets the bound on `expected`.
    #[must_use]
    pub fn is_met(self, actual: f64, expected: f64) -> bool {
        match self {
            Self::Equal => (actual - expected).abs() < f64::EPSILON,
            Self::AtLeast => actual >= expected,
            Self::AtMost => actual <= expected,
        }
    }
}

/// A step of a scenario, written as one line.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Starts a site: `site small` or `site today`.
    Site(String),
    /// Starts one of the system's processes that is not running: `start entry-0-gate`.
    Start(String),
    /// Kills a process with SIGKILL: `kill entry-0-gate`.
    Kill(String),
    /// Stops a process with SIGTERM and expects exit status 0: `stop entry-0-gate`.
    Stop(String),
    /// Requests a process to stop with SIGTERM, without waiting for its end: `terminate entry-0-gate`.
    Terminate(String),
    /// Tells a process with SIGHUP that its settings have changed: `reload entry-0-gate`.
    Reload(String),
    /// Suspends a process with SIGSTOP: `freeze entry-0-gate`.
    Freeze(String),
    /// Resumes a suspended process with SIGCONT: `thaw entry-0-gate`.
    Thaw(String),
    /// Cuts or restores a process's link to the log: `cut entry-0-gate both`.
    Cut(String, String),
    /// Sets a fault switch of the log: `log down true`.
    Log(Switch),
    /// Sets a fault switch of a host's backend server, or of all: `backend host-3 fail_all true`.
    Backend(String, Switch),
    /// Sets a host's state on the platform's list: `platform host-3 leaving`.
    Platform(String, String),
    /// Runs the operators' command line and expects success: `ctl dc out swansea`.
    Ctl(Vec<String>),
    /// Runs the operators' command line and expects failure: `ctl-fails apply old.csv`.
    CtlFails(Vec<String>),
    /// Waits for a number of milliseconds, to let a fault last: `pause 500`.
    Pause(u64),
    /// Starts a load: `load a requests 500 pace 200 callers 20`.
    Load(LoadSpec),
    /// Waits for the end of a load: `finish a`.
    Finish(String),
    /// Waits until a gate answers a team's request with an expected status:
    /// `until status 401 museum captions at 0 within 3000` (milliseconds).
    Until {
        /// Expected HTTP status.
        status: u16,
        /// Team whose API key the request carries.
        team: String,
        /// Service to which the request goes.
        service: String,
        /// Index of the gate's entry host.
        entry: usize,
        /// Timeout, in milliseconds.
        within_ms: u64,
    },
    /// Checks a metric: `expect answered a = 500`, `expect run-twice = 0`.
    Expect {
        /// Words that select the metric.
        metric: Vec<String>,
        /// How it has to compare with `expected`.
        bound: Bound,
        /// The number to compare with.
        expected: f64,
    },
}
