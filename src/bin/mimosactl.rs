//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    mimosastep::ctl::main()
}
