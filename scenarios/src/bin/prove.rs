//! Runs scenario files and prints whether each passed.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;

use scenarios::runner;

/// Runs scenarios and prints a line for each.
#[derive(FromArgs)]
struct Args {
    /// scenario files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let held = args.files.iter().filter(|file| run_file(file)).count();
    println!("{held} of {} held", args.files.len());
    if held == args.files.len() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn run_file(file: &PathBuf) -> bool {
    let start = Instant::now();
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let result = fs::read_to_string(file)
        .map_err(Into::into)
        .and_then(|text| runner::run(&text));
    let seconds = start.elapsed().as_secs_f64();
    match &result {
        Ok(()) => println!("held   {name} ({seconds:.1} s)"),
        Err(err) => println!("broken {name} ({seconds:.1} s): {err}"),
    }
    result.is_ok()
}
