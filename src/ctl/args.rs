//! Command-line arguments of `mimosactl`; the doc comments of its arguments are the help texts.

use std::path::PathBuf;

use argh::FromArgs;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::TeamName;

/// Manage the fleet: teams, pools, hosts and keys.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// address of a fleet process (repeatable; the next is tried when one can't be reached)
    #[argh(option, arg_name = "addr")]
    pub fleet: Vec<String>,
    /// file with the operator's key
    #[argh(option, arg_name = "path")]
    pub key_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Top-level subcommand.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Replace the table of teams.
    Apply(ApplyArgs),
    /// Add or change pools.
    Pools(PoolsArgs),
    /// Add or change hosts.
    Hosts(HostsArgs),
    /// Compare a table of teams with the state.
    Diff(DiffArgs),
    /// Validate files offline.
    Check(CheckArgs),
    /// Manage teams' keys.
    Key(KeyArgs),
    /// Take a host out of service or bring it back.
    Host(HostArgs),
    /// Take a data centre out of service or bring it back.
    Dc(DcArgs),
    /// Show a part of the state.
    Show(ShowArgs),
    /// Show readiness of the fleet processes and counts of the state.
    Status(StatusArgs),
    /// Show the events of all processes.
    Timeline(TimelineArgs),
    /// Explain the status of a host, team, data centre or request.
    Explain(ExplainArgs),
    /// Trace a job, task, executor or host through saved logs.
    Trace(TraceArgs),
}

/// Follow a job, a task, an executor or a host through saved logs of all processes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArgs {
    /// saved log (repeatable)
    #[argh(option, arg_name = "path")]
    pub log: Vec<PathBuf>,
    /// id to follow
    #[argh(positional)]
    pub id: String,
}

/// Replace the table of teams by a file, if nobody was faster.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// file with the rows `team,weight,limit,urgent`
    #[argh(positional)]
    pub table: PathBuf,
    /// revision that the change builds on (default: the current one)
    #[argh(option)]
    pub base: Option<u64>,
}

/// Add pools or alter known ones by a file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pools")]
pub struct PoolsArgs {
    /// file with the rows `pool,service,open,teams,budget`
    #[argh(positional)]
    pub file: PathBuf,
}

/// Add hosts or alter known ones by a file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hosts")]
pub struct HostsArgs {
    /// file with the rows `host,dc,rack,addr,slots,pool`
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print what a table would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// file with the rows `team,weight,limit,urgent`
    #[argh(positional)]
    pub table: PathBuf,
}

/// Check files without any connection.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// file of teams
    #[argh(option)]
    pub table: Option<PathBuf>,
    /// file of pools
    #[argh(option)]
    pub pools: Option<PathBuf>,
    /// file of hosts
    #[argh(option)]
    pub hosts: Option<PathBuf>,
}

/// Manage teams' keys; a key is hashed here and never leaves the machine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// Subcommand of `key`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// Authorize a key to act for a team.
    Grant(GrantArgs),
    /// Revoke a key.
    Withdraw(WithdrawArgs),
    /// Print a new random key.
    New(NewArgs),
    /// Print the hash of a key.
    Hash(HashArgs),
}

/// Let a key act for a team.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant")]
pub struct GrantArgs {
    /// the team
    #[argh(positional)]
    pub team: TeamName,
    /// file with the team's key
    #[argh(option)]
    pub key_file: PathBuf,
}

/// Take a key back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct WithdrawArgs {
    /// file with the team's key
    #[argh(option)]
    pub key_file: PathBuf,
}

/// Print a new random key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "new")]
pub struct NewArgs {}

/// Print the hash of a key, as settings of fleet processes list operators' keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash")]
pub struct HashArgs {
    /// file with the key
    #[argh(option)]
    pub key_file: PathBuf,
}

/// Take a host out of service or bring it back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "host")]
pub struct HostArgs {
    /// which way, `out` or `in`
    #[argh(positional, from_str_fn(parse_direction))]
    pub active: bool,
    /// the host
    #[argh(positional)]
    pub name: HostName,
}

/// Take a data centre out of service or bring it back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dc")]
pub struct DcArgs {
    /// which way, `out` or `in`
    #[argh(positional, from_str_fn(parse_direction))]
    pub active: bool,
    /// the data centre
    #[argh(positional)]
    pub name: DcName,
}

/// Show a part of the state.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// part to show: `teams`, `pools`, `hosts`, `members` or `dcs`
    #[argh(positional, from_str_fn(parse_part))]
    pub part: StatePart,
}

/// Show how the fleet stands.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Show the events of all processes in one order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// only events of this team
    #[argh(option)]
    pub team: Option<TeamName>,
    /// only events of this host
    #[argh(option)]
    pub host: Option<HostName>,
    /// only events of this data centre
    #[argh(option)]
    pub dc: Option<DcName>,
    /// only events by or about this process
    #[argh(option)]
    pub node: Option<NodeName>,
    /// only events of this request
    #[argh(option)]
    pub request: Option<String>,
    /// only events of the last so many seconds
    #[argh(option, arg_name = "seconds")]
    pub since: Option<u64>,
    /// draw the events to this file
    #[argh(option, arg_name = "path")]
    pub svg: Option<PathBuf>,
}

/// Tell why something is as it is.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// what it is: `host`, `team`, `dc` or `request`
    #[argh(positional, from_str_fn(parse_subject))]
    pub subject: Subject,
    /// its name
    #[argh(positional)]
    pub name: String,
}

/// Kind of thing that `explain` describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// A host.
    Host,
    /// A team.
    Team,
    /// A data centre.
    Dc,
    /// A request, by the id that its response carries.
    Request,
}

fn parse_subject(text: &str) -> Result<Subject, String> {
    match text {
        "host" => Ok(Subject::Host),
        "team" => Ok(Subject::Team),
        "dc" => Ok(Subject::Dc),
        "request" => Ok(Subject::Request),
        _ => Err(format!(
            "expected `host`, `team`, `dc` or `request`, got {text:?}"
        )),
    }
}

/// Part of the state that `show` prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatePart {
    /// Teams.
    Teams,
    /// Pools.
    Pools,
    /// Hosts.
    Hosts,
    /// Processes that are members.
    Members,
    /// Data centres.
    Dcs,
}

fn parse_direction(text: &str) -> Result<bool, String> {
    match text {
        "in" => Ok(true),
        "out" => Ok(false),
        _ => Err(format!("expected `in` or `out`, got {text:?}")),
    }
}

fn parse_part(text: &str) -> Result<StatePart, String> {
    match text {
        "teams" => Ok(StatePart::Teams),
        "pools" => Ok(StatePart::Pools),
        "hosts" => Ok(StatePart::Hosts),
        "members" => Ok(StatePart::Members),
        "dcs" => Ok(StatePart::Dcs),
        _ => Err(format!(
            "expected `teams`, `pools`, `hosts`, `members` or `dcs`, got {text:?}"
        )),
    }
}
