//! Settings of a scheduler.

use std::path::Path;

use crate::settings::Fault;
use crate::settings::NodeSettings;
use crate::settings::SettingsError;
use crate::settings::read;
use crate::settings::wire::SchedWire;

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
        read::open::<SchedWire, Self>(path)
    }
}

impl TryFrom<SchedWire> for SchedSettings {
    type Error = Fault;

    fn try_from(wire: SchedWire) -> Result<Self, Fault> {
        let (common, ()) = wire.part();
        Ok(Self {
            common: common.try_into()?,
        })
    }
}
