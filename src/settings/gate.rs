//! Settings of a gate.

use std::path::Path;

use serde_saphyr::Spanned;

use crate::settings::InvalidSetting;
use crate::settings::NodeSettings;
use crate::settings::SettingsError;
use crate::settings::raw::RawGate;
use crate::settings::read;

const DEFAULT_BODY_BYTES: usize = 1 << 20;
const MAX_BODY_BYTES: usize = 64 << 20;

/// Settings of a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateSettings {
    /// Settings that all programs have.
    pub common: NodeSettings,
    /// Maximum size of a request body in bytes; 1 MiB by default.
    pub body_limit: usize,
}

impl GateSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// A [`SettingsError`] if the file cannot be read or is invalid.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        read::load::<RawGate, Self>(path)
    }
}

impl TryFrom<RawGate> for GateSettings {
    type Error = InvalidSetting;

    fn try_from(raw: RawGate) -> Result<Self, InvalidSetting> {
        let (common, (body_limit,)) = raw.split();
        Ok(Self {
            common: common.try_into()?,
            body_limit: body_limit
                .map_or(Ok(DEFAULT_BODY_BYTES), |value| parse_body_limit(&value))?,
        })
    }
}

fn parse_body_limit(value: &Spanned<String>) -> Result<usize, InvalidSetting> {
    match value.value.parse() {
        Ok(limit @ 1..=MAX_BODY_BYTES) => Ok(limit),
        _ => {
            let allowed = format!("1 to {MAX_BODY_BYTES} bytes");
            Err(InvalidSetting::in_field(
                "body_limit",
                value,
                "not a valid body size",
                &allowed,
            ))
        }
    }
}
