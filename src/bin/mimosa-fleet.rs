//! Fleet process: serves the operators' API and plans maintenance of hosts.

use std::process::ExitCode;

use mimosastep::fleet::FleetServer;
use mimosastep::node;
use mimosastep::settings::FleetSettings;

fn main() -> ExitCode {
    node::run(FleetSettings::open, FleetServer::spawn, FleetServer::stop)
}
