//! Settings of a scheduler.

use std::path::Path;

use crate::settings::InvalidSetting;
use crate::settings::NodeSettings;
use crate::settings::SettingsError;
use crate::settings::raw::RawSched;
use crate::settings::read;

/// Settings of a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedSettings {
    /// Settings that all programs have.
    pub common: NodeSettings,
}

impl SchedSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// A [`SettingsError`] if the file cannot be read or is invalid.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        read::load::<RawSched, Self>(path)
    }
}

impl TryFrom<RawSched> for SchedSettings {
    type Error = InvalidSetting;

    fn try_from(raw: RawSched) -> Result<Self, InvalidSetting> {
        let (common, ()) = raw.split();
        Ok(Self {
            common: common.try_into()?,
        })
    }
}
