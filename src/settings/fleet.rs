//! Settings of a fleet process.

use std::path::Path;

use serde_saphyr::Spanned;

use crate::record::KeyHash;
use crate::settings::BaseUrl;
use crate::settings::InvalidSetting;
use crate::settings::NodeSettings;
use crate::settings::SettingsError;
use crate::settings::raw::RawFleet;
use crate::settings::read;

/// Settings of a fleet process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// What all programs have.
    pub common: NodeSettings,
    /// The platform's list of hosts.
    pub hosts: BaseUrl,
    /// Hashes of the operators' keys.
    pub operators: Vec<KeyHash>,
}

impl FleetSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the file and, inside it, line and field.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        read::open::<RawFleet, Self>(path)
    }
}

impl TryFrom<RawFleet> for FleetSettings {
    type Error = InvalidSetting;

    fn try_from(wire: RawFleet) -> Result<Self, InvalidSetting> {
        let (common, (hosts, operators)) = wire.part();
        Ok(Self {
            common: common.try_into()?,
            hosts: read::url("hosts", &hosts)?,
            operators: operators.iter().map(hash).collect::<Result<_, _>>()?,
        })
    }
}

fn hash(value: &Spanned<String>) -> Result<KeyHash, InvalidSetting> {
    match blake3::Hash::from_hex(&value.value) {
        Ok(hash) => Ok(KeyHash(*hash.as_bytes())),
        Err(_) => {
            let allowed = "a BLAKE3 hash of 64 hexadecimal digits";
            Err(InvalidSetting::of(
                "operators",
                value,
                "not a hash",
                allowed,
            ))
        }
    }
}
