//! Runs the stand-in for the platform's log.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use argh::FromArgs;

use standins::log::Log;
use standins::serve::listen;
use standins::serve::run_until_sigterm;
use standins::serve::serve;

/// Stands in for the platform's log.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// number of records kept
    #[argh(option, default = "100_000")]
    keep: u64,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    run_until_sigterm(async {
        let listener = listen(arguments.listen).await?;
        serve(listener, Rc::new(Log::new(arguments.keep))).await
    })
}
