//! Serves operators and plans upkeep.

use std::process::ExitCode;

use mimosastep::fleet::FleetServer;
use mimosastep::node;
use mimosastep::settings::FleetSettings;

fn main() -> ExitCode {
    node::run(FleetSettings::open, FleetServer::spawn, FleetServer::stop)
}
