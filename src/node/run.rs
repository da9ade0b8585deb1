//! The life of a process.

use std::future::Future;
use std::path::Path;
use std::process::ExitCode;

use compio::runtime::Runtime;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::Shared;
use futures_util::future::select;

use crate::node::Args;
use crate::node::MembershipEnd;
use crate::node::NodeError;
use crate::node::NodeProcess;
use crate::settings::SettingsError;

/// Signal that asks for a planned stop.
const SIGTERM: i32 = 15;

/// How one incarnation of a process is over.
enum Over {
    /// A signal asked for it.
    Stopped,
    /// Its membership has ended.
    MembershipEnd(MembershipEnd),
}

/// Reads the settings, starts the process, waits for a signal and stops the process. If the
/// fleet processes took it for dead, it is stopped as by a signal and started anew, under a new
/// incarnation and with nothing kept.
pub fn run<S, P, Spawn, SpawnFut, Stop, StopFut>(
    open: impl Fn(&Path) -> Result<S, SettingsError>,
    spawn: Spawn,
    stop: Stop,
) -> ExitCode
where
    P: NodeProcess,
    Spawn: Fn(S) -> SpawnFut,
    SpawnFut: Future<Output = Result<P, NodeError>>,
    Stop: Fn(P) -> StopFut,
    StopFut: Future<Output = ()>,
{
    let args: Args = argh::from_env();
    loop {
        let settings = match open(&args.settings) {
            Ok(settings) => settings,
            Err(err) => return failed(&err.to_string()),
        };
        if args.check {
            println!("{}: ok", args.settings.display());
            return ExitCode::SUCCESS;
        }
        // The tasks of an incarnation end with its runtime.
        let runtime = match Runtime::new() {
            Ok(runtime) => runtime,
            Err(err) => return failed(&err.to_string()),
        };
        match runtime.block_on(live(spawn(settings), &stop)) {
            Ok(Over::Stopped) => return ExitCode::SUCCESS,
            Ok(Over::MembershipEnd(MembershipEnd::Suspected)) => {}
            Ok(Over::MembershipEnd(MembershipEnd::Replaced)) => {
                return failed("another process has joined under this name");
            }
            Err(err) => return failed(&err.to_string()),
        }
    }
}

async fn live<P: NodeProcess, StopFut: Future<Output = ()>>(
    spawning: impl Future<Output = Result<P, NodeError>>,
    stop: impl Fn(P) -> StopFut,
) -> Result<Over, NodeError> {
    let process = spawning.await?;
    let signal = stop_signal().boxed_local().shared();
    let over = over(&process, signal.clone()).await;
    stop(process).await;
    match over {
        Over::MembershipEnd(_) if signal.now_or_never().is_some() => Ok(Over::Stopped),
        over => Ok(over),
    }
}

async fn over(process: &impl NodeProcess, signal: Shared<impl Future<Output = ()>>) -> Over {
    let ended = process.node().ended().boxed_local();
    match select(signal, ended).await {
        Either::Left(_) => Over::Stopped,
        Either::Right((ended, _)) => Over::MembershipEnd(ended),
    }
}

async fn stop_signal() {
    let terminate = compio::signal::unix::signal(SIGTERM).boxed_local();
    let interrupt = compio::signal::ctrl_c().boxed_local();
    select(terminate, interrupt).await;
}

fn failed(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
