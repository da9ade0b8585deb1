//! Runs the commands.

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
use crate::ctl::drawing::draw;
use crate::ctl::explain::explain;
use crate::ctl::files::read_key;
use crate::ctl::files::read_rows;
use crate::ctl::lines::lines;
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

struct Session {
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

/// Runs the program with the process's arguments.
#[must_use]
pub fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["mimosactl"], &words) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            print!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => return fail(&CtlError::usage(one_line(&early.output))),
    };
    let outcome = Runtime::new()
        .map_err(|error: io::Error| CtlError::usage(error))
        .and_then(|runtime| runtime.block_on(run(args)));
    outcome.map_or_else(|error| fail(&error), |()| ExitCode::SUCCESS)
}

fn fail(error: &CtlError) -> ExitCode {
    for line in error.to_string().lines() {
        eprintln!("mimosactl: {line}");
    }
    ExitCode::from(error.exit_code())
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

async fn run(args: Args) -> Result<(), CtlError> {
    let session = Session {
        fleet: args.fleet,
        key_file: args.key_file,
        printer: Printer { json: args.json },
    };
    match args.command {
        Command::Apply(args) => session.apply(&args).await,
        Command::Pools(args) => session.change(Change::Pools(read_rows(&args.file)?)).await,
        Command::Hosts(args) => session.change(Change::Hosts(read_rows(&args.file)?)).await,
        Command::Diff(args) => session.diff(&args.table).await,
        Command::Check(args) => check(&args),
        Command::Trace(args) => {
            for line in trace(&args.log, &args.id)? {
                println!("{line}");
            }
            Ok(())
        }
        Command::Key(args) => session.key(args.command).await,
        Command::Host(args) => {
            session
                .change(Change::MarkHost {
                    host: args.name,
                    active: args.active,
                })
                .await
        }
        Command::Dc(args) => {
            session
                .change(Change::MarkDc {
                    dc: args.name,
                    active: args.active,
                })
                .await
        }
        Command::Show(args) => session
            .printer
            .part(&session.client()?.view().await?, args.part),
        Command::Status(_) => session.status().await,
        Command::Timeline(args) => session.timeline(args).await,
        Command::Explain(args) => session.explain(&args).await,
    }
}

fn check(args: &CheckArgs) -> Result<(), CtlError> {
    let problems: Vec<String> = [
        args.table.as_deref().and_then(problems_of::<TeamRow>),
        args.pools.as_deref().and_then(problems_of::<PoolRow>),
        args.hosts.as_deref().and_then(problems_of::<HostRow>),
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

fn problems_of<R: Row>(path: &Path) -> Option<CtlError> {
    read_rows::<R>(path).err()
}

impl Session {
    fn client(&self) -> Result<FleetClient, CtlError> {
        let file = self.key_file.as_deref();
        let file = file.ok_or_else(|| CtlError::usage("--key-file is missing"))?;
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
        let lines = format!("{diff}{}", describe(accepted));
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
        self.printer.print(&accepted, describe(accepted))
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
        let wanted = EventFilter {
            team: args.team,
            host: args.host,
            dc: args.dc,
            node: args.node,
            request: args.request,
        };
        let told = wanted.of(&timeline);
        if let Some(path) = &args.svg {
            fs::write(path, draw(&told)).map_err(CtlError::usage)?;
        }
        let events: Vec<_> = told.iter().map(|told| told.event).collect();
        self.printer.print(&events, lines(&timeline, &told))
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

fn describe(accepted: Accepted) -> String {
    let force = if accepted.in_force {
        "in force"
    } else {
        "not yet in force everywhere"
    };
    format!("revision {}, {force}\n", accepted.revision)
}
