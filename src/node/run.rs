//! The life of a process.

use std::future::Future;
use std::process::ExitCode;

use futures_util::FutureExt;
use futures_util::future::select;

use crate::node::Args;
use crate::node::NodeError;
use crate::settings::SettingsError;

/// Signal that asks for a planned stop.
const SIGTERM: i32 = 15;

/// Reads the settings, starts the process, waits for a signal and stops the process.
pub fn run<S, P, Spawn, SpawnFut, Stop, StopFut>(
    open: impl FnOnce(&std::path::Path) -> Result<S, SettingsError>,
    spawn: Spawn,
    stop: Stop,
) -> ExitCode
where
    Spawn: FnOnce(S) -> SpawnFut,
    SpawnFut: Future<Output = Result<P, NodeError>>,
    Stop: FnOnce(P) -> StopFut,
    StopFut: Future<Output = ()>,
{
    let args: Args = argh::from_env();
    let settings = match open(&args.settings) {
        Ok(settings) => settings,
        Err(err) => return failed(&err.to_string()),
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return failed(&err.to_string()),
    };
    runtime.block_on(async {
        let process = match spawn(settings).await {
            Ok(process) => process,
            Err(err) => return failed(&err.to_string()),
        };
        stop_signal().await;
        stop(process).await;
        ExitCode::SUCCESS
    })
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
