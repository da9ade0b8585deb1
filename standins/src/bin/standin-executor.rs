//! Runs one or more stand-ins for backend servers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use argh::FromArgs;
use futures_util::future::try_join_all;

use standins::executor::Executor;
use standins::serve::listen;
use standins::serve::run_until_sigterm;
use standins::serve::serve;

/// Stands in for one or more backend servers.
#[derive(FromArgs)]
struct Arguments {
    /// address of one backend server; may be repeated
    #[argh(option)]
    listen: Vec<SocketAddr>,
    /// slots of each backend server
    #[argh(option, default = "8")]
    slots: usize,
    /// connections that each backend server takes
    #[argh(option, default = "64")]
    connections: usize,
    /// mean run time in milliseconds; 0 answers at once
    #[argh(option, default = "0")]
    run_ms: u64,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    let mean_run = Duration::from_millis(arguments.run_ms);
    run_until_sigterm(async {
        let mut servers = Vec::new();
        for address in arguments.listen {
            let executor = Executor::new(arguments.slots, arguments.connections, mean_run);
            servers.push(serve(listen(address).await?, Rc::new(executor)));
        }
        try_join_all(servers).await.map(drop)
    })
}
