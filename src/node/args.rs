//! Command-line arguments of a process.

use std::path::PathBuf;

use argh::FromArgs;

/// A process of mimosastep.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// path of the YAML settings file
    #[argh(option)]
    pub settings: PathBuf,
    /// only check the settings file
    #[argh(switch)]
    pub check: bool,
}
