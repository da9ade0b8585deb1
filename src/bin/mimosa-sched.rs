//! Scheduler process: queues requests and grants slots on backend servers.

use std::process::ExitCode;

use mimosastep::node;
use mimosastep::sched::SchedServer;
use mimosastep::settings::SchedSettings;

fn main() -> ExitCode {
    node::run(SchedSettings::open, SchedServer::spawn, SchedServer::stop)
}
