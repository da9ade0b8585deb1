//! One step of a scenario.

/// A switch of a stand-in, as its control path takes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Switch {
    /// Name of the switch.
    pub name: String,
    /// Its JSON value.
    pub value: String,
}

/// A load in the background.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSpec {
    /// Name that later steps use.
    pub name: String,
    /// Requests in all.
    pub requests: u64,
    /// Requests a second.
    pub pace: u64,
    /// Callers.
    pub callers: u64,
    /// Further arguments of the load client.
    pub extra: Vec<String>,
}

/// How a measured number compares with the expected one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Exactly.
    Equal,
    /// At least.
    AtLeast,
    /// At most.
    AtMost,
}

impl Bound {
    /// Whether `actual` is within the bound.
    #[must_use]
    pub fn is_met(self, actual: f64, expected: f64) -> bool {
        match self {
            Self::Equal => (actual - expected).abs() < f64::EPSILON,
            Self::AtLeast => actual >= expected,
            Self::AtMost => actual <= expected,
        }
    }
}

/// One line of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Starts a site: `site small` or `site today`.
    Site(String),
    /// Starts a process of the system that is not running: `start entry-0-gate`.
    Start(String),
    /// Kills a process at once: `kill entry-0-gate`.
    Kill(String),
    /// Stops a process as planned and insists on exit status 0: `stop entry-0-gate`.
    Stop(String),
    /// Freezes a process: `freeze entry-0-gate`.
    Freeze(String),
    /// Lets a frozen process go on: `thaw entry-0-gate`.
    Thaw(String),
    /// Cuts or mends a process's way to the log: `cut entry-0-gate both`.
    Cut(String, String),
    /// Sets a switch of the log: `log down true`.
    Log(Switch),
    /// Sets a switch of a host's backend server, or of all: `backend host-3 fail_all true`.
    Backend(String, Switch),
    /// Sets a host's state on the platform's list: `platform host-3 leaving`.
    Platform(String, String),
    /// Runs the operators' command line and insists on success: `ctl dc out swansea`.
    Ctl(Vec<String>),
    /// Runs the operators' command line and insists on failure: `ctl-fails apply old.csv`.
    CtlFails(Vec<String>),
    /// Waits, to let a fault last: `pause 500`.
    Pause(u64),
    /// Starts a load: `load a requests 500 pace 200 callers 20`.
    Load(LoadSpec),
    /// Waits for the end of a load: `finish a`.
    Finish(String),
    /// Waits until a gate answers a team's request with a status:
    /// `until status 401 museum captions at 0 within_ms 3000`.
    Until {
        /// HTTP status.
        status: u16,
        /// Team whose key is shown.
        team: String,
        /// Service addressed.
        service: String,
        /// Entry host of the gate.
        entry: usize,
        /// Longest wait in milliseconds.
        within_ms: u64,
    },
    /// Insists on a figure: `expect answered a = 500`, `expect run-twice = 0`.
    Expect {
        /// What is looked at.
        metric: Vec<String>,
        /// How it compares.
        bound: Bound,
        /// Expected number.
        expected: f64,
    },
}
