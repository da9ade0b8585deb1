//! Main loop of a process.

use std::future::Future;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;

use compio::runtime::Runtime;
use compio::runtime::spawn;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use slog::Logger;
use slog::warn;

use crate::node::Args;
use crate::node::MembershipEnd;
use crate::node::NodeError;
use crate::node::NodeProcess;
use crate::settings::SettingsError;
use crate::signals::Signals;

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
    let signals = match Signals::open() {
        Ok(signals) => Rc::new(signals),
        Err(err) => return fail(&err.to_string()),
    };
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
        match runtime.block_on(run_incarnation(spawn(settings), &stop, &signals)) {
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
    signals: &Rc<Signals>,
) -> Result<ExitReason, NodeError> {
    let process = spawning.await?;
    let log = process.node().log().clone();
    // Ends with the runtime.
    spawn(refuse_reloads(signals.clone(), log)).detach();
    let exit = wait_for_exit(&process, signals).await?;
    stop(process).await;
    match exit {
        ExitReason::MembershipEnd(_) if signals.is_stop_requested() => Ok(ExitReason::Stopped),
        exit => Ok(exit),
    }
}

async fn wait_for_exit(
    process: &impl NodeProcess,
    signals: &Signals,
) -> Result<ExitReason, NodeError> {
    let stopped = signals.stop_requested().boxed_local();
    let ended = process.node().ended().boxed_local();
    match select(stopped, ended).await {
        Either::Left((stopped, _)) => Ok(stopped.map(|()| ExitReason::Stopped)?),
        Either::Right((ended, _)) => Ok(ExitReason::MembershipEnd(ended)),
    }
}

/// Logs requests to reload the settings, which these processes read only when they start.
async fn refuse_reloads(signals: Rc<Signals>, log: Logger) {
    while signals.reload_requested().await.is_ok() {
        warn!(log, "settings are not reloaded; a restart applies them");
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
