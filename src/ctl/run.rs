//! Runs the commands of `mimosactl`.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use compio::runtime::Runtime;
use serde::Serialize;

use crate::ctl::Args;
use crate::ctl::CtlError;
use crate::ctl::EventFilter;
use crate::ctl::FleetClient;
use crate::ctl::TableDiff;
use crate::ctl::args::ApplyArgs;
use crate::ctl::args::CheckArgs;
use crate::ctl::args::Command;
use crate::ctl::args::ExplainArgs;
use crate::ctl::args::KeyCommand;
use crate::ctl::args::TimelineArgs;
use crate::ctl::drawing::draw_timeline;
use crate::ctl::explain::explain;
use crate::ctl::files::read_key;
use crate::ctl::files::read_rows;
use crate::ctl::lines::format_events;
use crate::ctl::printer::Printer;
use crate::ctl::trace::trace;
use crate::fleet::Accepted;
use crate::fleet::Submission;
use crate::observe::unix_millis;
use crate::record::Change;
use crate::record::HostRow;
use crate::record::KeyHash;
use crate::record::PoolRow;
use crate::record::RecordId;
use crate::record::TeamRow;
use crate::table::Row;

/// Global options of the command line.
struct CommandContext {
    fleet: Vec<String>,
    key_file: Option<PathBuf>,
    printer: Printer,
}

#[derive(Serialize)]
struct Applied<'a> {
    diff: &'a TableDiff,
    #[serde(flatten)]
    accepted: Accepted,
}

#[derive(Serialize)]
struct Status {
    fleet: Vec<(String, &'static str)>,
    revision: u64,
    offset: u64,
    epoch: u64,
    teams: usize,
    pools: usize,
    hosts: usize,
    members: usize,
}

/// Parses the arguments of the process and runs the command.
#[must_use]
pub fn main() -> ExitCode {
    let raw_args: Vec<String> = std::env::args().skip(1).collect();
    let raw_args: Vec<&str> = raw_args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["mimosactl"], &raw_args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            print!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => return report_error(&CtlError::usage(join_lines(&exit.output))),
    };
    let outcome = Runtime::new()
        .map_err(|error: io::Error| CtlError::usage(error))
        .and_then(|runtime| runtime.block_on(run(args)));
    outcome.map_or_else(|error| report_error(&error), |()| ExitCode::SUCCESS)
}

fn report_error(error: &CtlError) -> ExitCode {
    for line in error.to_string().lines() {
        eprintln!("mimosactl: {line}");
    }
    ExitCode::from(error.exit_code())
}

fn join_lines(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

async fn run(args: Args) -> Result<(), CtlError> {
    let context = CommandContext {
        fleet: args.fleet,
        key_file: args.key_file,
        printer: Printer { json: args.json },
    };
    match args.command {
        Command::Apply(args) => context.apply(&args).await,
        Command::Pools(args) => context.change(Change::Pools(read_rows(&args.file)?)).await,
        Command::Hosts(args) => context.change(Change::Hosts(read_rows(&args.file)?)).await,
        Command::Diff(args) => context.diff(&args.table).await,
        Command::Check(args) => check(&args),
        Command::Trace(args) => {
            for line in trace(&args.log, &args.id)? {
                println!("{line}");
            }
            Ok(())
        }
        Command::Key(args) => context.key(args.command).await,
        Command::Host(args) => {
            context
                .change(Change::MarkHost {
                    host: args.name,
                    active: args.active,
                })
                .await
        }
        Command::Dc(args) => {
            context
                .change(Change::MarkDc {
                    dc: args.name,
                    active: args.active,
                })
                .await
        }
        Command::Show(args) => context
            .printer
            .print_part(&context.client()?.view().await?, args.part),
        Command::Status(_) => context.status().await,
        Command::Timeline(args) => context.timeline(args).await,
        Command::Explain(args) => context.explain(&args).await,
    }
}

fn check(args: &CheckArgs) -> Result<(), CtlError> {
    let problems: Vec<String> = [
        args.table.as_deref().and_then(check_file::<TeamRow>),
        args.pools.as_deref().and_then(check_file::<PoolRow>),
        args.hosts.as_deref().and_then(check_file::<HostRow>),
    ]
    .into_iter()
    .flatten()
    .map(|error| error.to_string())
    .collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(CtlError::Usage(problems))
    }
}

fn check_file<R: Row>(path: &Path) -> Option<CtlError> {
    read_rows::<R>(path).err()
}

impl CommandContext {
    fn client(&self) -> Result<FleetClient, CtlError> {
        let file = self.key_file.as_deref();
        let file = file.ok_or_else(|| CtlError::usage("missing option: --key-file"))?;
        FleetClient::new(self.fleet.clone(), read_key(file)?)
    }

    async fn apply(&self, args: &ApplyArgs) -> Result<(), CtlError> {
        let rows = read_rows(&args.table)?;
        let client = self.client()?;
        let view = client.view().await?;
        let diff = TableDiff::new(&view.teams, &rows);
        let base = args.base.or(Some(view.revision));
        let id = RecordId::random();
        let accepted = client
            .submit(&Submission {
                id,
                base,
                change: Change::Table(rows),
            })
            .await?;
        let lines = format!("{diff}{}", format_accepted(accepted));
        self.printer.print(
            &Applied {
                diff: &diff,
                accepted,
            },
            lines,
        )
    }

    async fn diff(&self, table: &Path) -> Result<(), CtlError> {
        let rows = read_rows(table)?;
        let view = self.client()?.view().await?;
        let diff = TableDiff::new(&view.teams, &rows);
        self.printer.print(&diff, &diff)
    }

    async fn change(&self, change: Change) -> Result<(), CtlError> {
        let submission = Submission {
            id: RecordId::random(),
            base: None,
            change,
        };
        let accepted = self.client()?.submit(&submission).await?;
        self.printer.print(&accepted, format_accepted(accepted))
    }

    async fn key(&self, command: KeyCommand) -> Result<(), CtlError> {
        match command {
            KeyCommand::Grant(args) => {
                let hash = KeyHash::of(read_key(&args.key_file)?.as_bytes());
                self.change(Change::GrantKey {
                    team: args.team,
                    hash,
                })
                .await
            }
            KeyCommand::Withdraw(args) => {
                let hash = KeyHash::of(read_key(&args.key_file)?.as_bytes());
                self.change(Change::WithdrawKey { hash }).await
            }
            KeyCommand::Hash(args) => {
                let hash = KeyHash::of(read_key(&args.key_file)?.as_bytes()).to_string();
                self.printer.print(&hash, format!("{hash}\n"))
            }
            KeyCommand::New(_) => {
                let key = KeyHash(rand::random()).to_string();
                self.printer.print(&key, format!("{key}\n"))
            }
        }
    }

    async fn timeline(&self, args: TimelineArgs) -> Result<(), CtlError> {
        let since = args.since.map_or(0, |seconds| {
            unix_millis().saturating_sub(seconds.saturating_mul(1_000))
        });
        let timeline = self.client()?.timeline(since).await?;
        let filter = EventFilter {
            team: args.team,
            host: args.host,
            dc: args.dc,
            node: args.node,
            request: args.request,
        };
        let selected = filter.select(&timeline);
        if let Some(path) = &args.svg {
            fs::write(path, draw_timeline(&selected)).map_err(CtlError::usage)?;
        }
        let events: Vec<_> = selected.iter().map(|merged| merged.event).collect();
        self.printer
            .print(&events, format_events(&timeline, &selected))
    }

    async fn explain(&self, args: &ExplainArgs) -> Result<(), CtlError> {
        let client = self.client()?;
        let (view, timeline) = (client.view().await?, client.timeline(0).await?);
        let text = explain(&view, &timeline, args.subject, &args.name)?;
        self.printer.print(&text, &text)
    }

    async fn status(&self) -> Result<(), CtlError> {
        let client = self.client()?;
        let fleet = client.readiness().await;
        let view = client.view().await?;
        let status = Status {
            fleet,
            revision: view.revision,
            offset: view.offset,
            epoch: view.epoch,
            teams: view.teams.len(),
            pools: view.pools.len(),
            hosts: view.hosts.len(),
            members: view.members.len(),
        };
        self.printer.print(&status, status.lines())
    }
}

impl Status {
    fn lines(&self) -> String {
        let fleet = self
            .fleet
            .iter()
            .map(|(addr, state)| format!("{addr} {state}\n"));
        let counts = [
            ("revision", self.revision),
            ("offset", self.offset),
            ("epoch", self.epoch),
            ("teams", self.teams as u64),
            ("pools", self.pools as u64),
            ("hosts", self.hosts as u64),
            ("members", self.members as u64),
        ];
        fleet
            .chain(
                counts
                    .iter()
                    .map(|(name, count)| format!("{name} {count}\n")),
            )
            .collect()
    }
}

fn format_accepted(accepted: Accepted) -> String {
    let effect = if accepted.in_force {
        "in force"
    } else {
        "not yet in force everywhere"
    };
    format!("revision {}, {effect}\n", accepted.revision)
}
