//! Why settings cannot be used.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::settings::InvalidSetting;

quick_error! {
    /// Why settings cannot be used; the text names the file and, inside it, line and field.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// The file's contents are wrong.
        InvalidSetting(path: PathBuf, fault: InvalidSetting) {
            display("{}:{}", path.display(), fault)
        }
    }
}
