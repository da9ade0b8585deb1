//! Gate process: terminates clients' HTTP connections and forwards requests to backend servers.

use std::process::ExitCode;

use mimosastep::gate::GateServer;
use mimosastep::node;
use mimosastep::settings::GateSettings;

fn main() -> ExitCode {
    node::run(GateSettings::open, GateServer::spawn, GateServer::stop)
}
