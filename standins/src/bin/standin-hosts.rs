//! Runs the stand-in for the platform's list of hosts.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use argh::FromArgs;

use standins::hosts::Hosts;
use standins::serve::listen;
use standins::serve::run_until_sigterm;
use standins::serve::serve;

/// Stands in for the platform's list of hosts.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// how old the list shown is, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// how long a reboot takes, in milliseconds
    #[argh(option, default = "2000")]
    reboot_ms: u64,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    run_until_sigterm(async {
        let hosts = Hosts::new(arguments.lag_ms, arguments.reboot_ms);
        let listener = listen(arguments.listen).await?;
        serve(listener, Rc::new(hosts)).await
    })
}
