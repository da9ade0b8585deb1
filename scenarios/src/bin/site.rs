//! Starts a site and keeps it running until interrupted, for trying out commands.

use std::error::Error;
use std::fs;

use argh::FromArgs;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use scenarios::layout::Layout;
use scenarios::process::sibling_program;
use scenarios::site::Site;

/// Start a site on loopback addresses and keep it until it is interrupted.
#[derive(FromArgs)]
struct Args {
    /// entry hosts, each with three processes
    #[argh(option, default = "9")]
    entries: usize,
    /// where to write the shell variables that name the site's addresses and files
    #[argh(option, default = "String::from(\"target/site.sh\")")]
    env: String,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    let layout = Layout {
        entries: args.entries,
        ..Layout::today()
    };
    let site = Site::spawn(layout)?;
    fs::write(&args.env, variables(&site)?)?;
    println!(
        "{} processes run; in another shell: . {}",
        site.process_ids().len(),
        args.env
    );
    signals.forever().next();
    Ok(())
}

/// Shell variables with a gate, a fleet process and a team's key, and a function that runs the
/// operators' command line.
fn variables(site: &Site) -> Result<String, Box<dyn Error>> {
    let fleet: Vec<String> = site
        .addresses
        .iter()
        .map(|[fleet, _, _]| format!("--fleet {}", fleet.http))
        .collect();
    let (team, ..) = &site.layout.teams[0];
    let lines = [
        format!("SITE={}", site.dir().display()),
        format!("GATE=http://{}", site.gates()[0]),
        format!("FLEET=http://{}", site.addresses[0][0].http),
        format!("KEY={}", Site::key(team)),
        format!(
            "mimosactl() {{ {} {} --key-file $SITE/operator.key \"$@\"; }}",
            sibling_program("mimosactl")?.display(),
            fleet.join(" ")
        ),
    ];
    Ok(lines.join("\n") + "\n")
}
