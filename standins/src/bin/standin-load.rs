//! Generates load on the product, or on a backend server directly.

use std::error::Error;
use std::iter::zip;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use futures_util::future::FutureExt;

use standins::load::Load;
use standins::load::Plan;
use standins::load::Route;
use standins::load_stats::LoadStats;
use standins::serve::run_until_sigterm;

/// Loads the product, and checks that each answer belongs to its request.
#[derive(FromArgs)]
struct Arguments {
    /// address to send to; may be repeated
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// path of requests; may be repeated
    #[argh(option)]
    path: Vec<String>,
    /// key for the path at the same place; may be repeated
    #[argh(option)]
    key: Vec<String>,
    /// number of callers
    #[argh(option, default = "1")]
    callers: u64,
    /// number of requests in all
    #[argh(option)]
    requests: Option<u64>,
    /// length of the load
    #[argh(option)]
    seconds: Option<f64>,
    /// time for each request
    #[argh(option, default = "10_000")]
    deadline_ms: u64,
    /// run time asked for
    #[argh(option)]
    run_ms: Option<u64>,
    /// length of each request's body
    #[argh(option, default = "64")]
    body_bytes: usize,
    /// send to a backend server itself
    #[argh(switch)]
    direct: bool,
    /// send requests that weren't run again, until their deadline
    #[argh(switch)]
    retry: bool,
    /// requests a second in all, open loop
    #[argh(option)]
    pace: Option<f64>,
    /// report as JSON
    #[argh(switch)]
    json: bool,
}

impl Arguments {
    fn routes(&self) -> Vec<Route> {
        if self.direct {
            return vec![Route {
                path: "/run".to_owned(),
                key: None,
            }];
        }
        let pairs = zip(self.path.clone(), self.key.iter().cloned().map(Some));
        pairs.map(|(path, key)| Route { path, key }).collect()
    }

    fn check(&self) -> Result<(), &'static str> {
        if self.target.is_empty() {
            return Err("--target is missing");
        }
        if !self.direct && (self.path.is_empty() || self.path.len() != self.key.len()) {
            return Err("expected at least one --path, each with a --key");
        }
        if self.requests.is_none() && self.seconds.is_none() {
            return Err("--requests or --seconds is missing");
        }
        if self.pace.is_some_and(|pace| pace <= 0.0) {
            return Err("--pace must be above 0");
        }
        Ok(())
    }

    fn plan(self) -> Plan {
        let time = self.seconds.map(Duration::from_secs_f64);
        Plan {
            routes: self.routes(),
            targets: self.target,
            callers: self.callers,
            requests: self.requests,
            end: time.map(|time| Instant::now() + time),
            deadline_ms: self.deadline_ms,
            run_ms: self.run_ms,
            body_bytes: self.body_bytes,
            retry: self.retry,
            pace: self.pace,
        }
    }
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    arguments.check()?;
    let as_json = arguments.json;
    let load = Load::new(arguments.plan(), LoadStats::new()?);
    run_until_sigterm(load.run().map(Ok))?;
    let report = load.report();
    if as_json {
        println!("{}", report.0);
    } else {
        print!("{report}");
    }
    Ok(ExitCode::from(u8::from(load.has_wrong())))
}
