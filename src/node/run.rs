//! Main loop of a process.

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

/// Signal that requests a graceful stop.
const SIGTERM: i32 = 15;

/// Why an incarnation of a process ended.
enum ExitReason {
    /// A signal requested it.
    Stopped,
    /// The membership ended.
    MembershipEnd(MembershipEnd),
}

/// Reads the settings, starts the process, waits for a signal and stops the process. If the
/// fleet processes suspect it of having failed, it is stopped as by a signal and restarted as a
/// new incarnation that keeps no state.
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
            Err(err) => return fail(&err.to_string()),
        };
        if args.check {
            println!("{}: ok", args.settings.display());
            return ExitCode::SUCCESS;
        }
        // Dropping the runtime ends all tasks of the incarnation.
        let runtime = match Runtime::new() {
            Ok(runtime) => runtime,
            Err(err) => return fail(&err.to_string()),
        };
        match runtime.block_on(run_incarnation(spawn(settings), &stop)) {
            Ok(ExitReason::Stopped) => return ExitCode::SUCCESS,
            Ok(ExitReason::MembershipEnd(MembershipEnd::Suspected)) => {}
            Ok(ExitReason::MembershipEnd(MembershipEnd::Replaced)) => {
                return fail("another process has joined under this name");
            }
            Err(err) => return fail(&err.to_string()),
        }
    }
}

async fn run_incarnation<P: NodeProcess, StopFut: Future<Output = ()>>(
    spawning: impl Future<Output = Result<P, NodeError>>,
    stop: impl Fn(P) -> StopFut,
) -> Result<ExitReason, NodeError> {
    let process = spawning.await?;
    let signal = stop_signal().boxed_local().shared();
    let exit = wait_for_exit(&process, signal.clone()).await;
    stop(process).await;
    match exit {
        ExitReason::MembershipEnd(_) if signal.now_or_never().is_some() => Ok(ExitReason::Stopped),
        exit => Ok(exit),
    }
}

async fn wait_for_exit(
    process: &impl NodeProcess,
    signal: Shared<impl Future<Output = ()>>,
) -> ExitReason {
    let ended = process.node().ended().boxed_local();
    match select(signal, ended).await {
        Either::Left(_) => ExitReason::Stopped,
        Either::Right((ended, _)) => ExitReason::MembershipEnd(ended),
    }
}

async fn stop_signal() {
    let terminate = compio::signal::unix::signal(SIGTERM).boxed_local();
    let interrupt = compio::signal::ctrl_c().boxed_local();
    select(terminate, interrupt).await;
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
