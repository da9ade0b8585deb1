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
    /// What all programs have.
    pub common: NodeSettings,
}

impl SchedSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the file and, inside it, line and field.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        read::open::<RawSched, Self>(path)
    }
}

impl TryFrom<RawSched> for SchedSettings {
    type Error = InvalidSetting;

    fn try_from(wire: RawSched) -> Result<Self, InvalidSetting> {
        let (common, ()) = wire.part();
        Ok(Self {
            common: common.try_into()?,
        })
    }
}
