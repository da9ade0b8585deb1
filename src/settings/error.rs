//! Errors of settings files.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::settings::InvalidSetting;

quick_error! {
    /// Why settings cannot be used; the message names the file and, if its contents are invalid, the
    /// line and field.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// The contents of the file are invalid.
        InvalidSetting(path: PathBuf, invalid: InvalidSetting) {
            display("{}:{}", path.display(), invalid)
        }
    }
}
