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
    /// Settings that all programs have.
    pub common: NodeSettings,
    /// Server of the platform that lists the hosts.
    pub hosts: BaseUrl,
    /// Hashes of the keys that operators authenticate with.
    pub operators: Vec<KeyHash>,
}

impl FleetSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// A [`SettingsError`] if the file cannot be read or is invalid.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        read::load::<RawFleet, Self>(path)
    }
}

impl TryFrom<RawFleet> for FleetSettings {
    type Error = InvalidSetting;

    fn try_from(raw: RawFleet) -> Result<Self, InvalidSetting> {
        let (common, (hosts, operators)) = raw.split();
        Ok(Self {
            common: common.try_into()?,
            hosts: read::parse_url("hosts", &hosts)?,
            operators: operators.iter().map(parse_hash).collect::<Result<_, _>>()?,
        })
    }
}

fn parse_hash(value: &Spanned<String>) -> Result<KeyHash, InvalidSetting> {
    match blake3::Hash::from_hex(&value.value) {
        Ok(hash) => Ok(KeyHash(*hash.as_bytes())),
        Err(_) => {
            let allowed = "a BLAKE3 hash of 64 hexadecimal digits";
            Err(InvalidSetting::in_field(
                "operators",
                value,
                "not a hash",
                allowed,
            ))
        }
    }
}
