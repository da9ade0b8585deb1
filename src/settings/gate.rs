//! Settings of a gate.

use std::path::Path;

use serde_saphyr::Spanned;

use crate::settings::InvalidSetting;
use crate::settings::NodeSettings;
use crate::settings::SettingsError;
use crate::settings::raw::RawGate;
use crate::settings::read;

const DEFAULT_BODY: usize = 1 << 20;
const LARGEST_BODY: usize = 64 << 20;

/// Settings of a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateSettings {
    /// What all programs have.
    pub common: NodeSettings,
    /// Largest body of a request, in bytes.
    pub body_limit: usize,
}

impl GateSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the file and, inside it, line and field.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        read::open::<RawGate, Self>(path)
    }
}

impl TryFrom<RawGate> for GateSettings {
    type Error = InvalidSetting;

    fn try_from(wire: RawGate) -> Result<Self, InvalidSetting> {
        let (common, (body_limit,)) = wire.part();
        Ok(Self {
            common: common.try_into()?,
            body_limit: body_limit.map_or(Ok(DEFAULT_BODY), |value| limit(&value))?,
        })
    }
}

fn limit(value: &Spanned<String>) -> Result<usize, InvalidSetting> {
    match value.value.parse() {
        Ok(limit @ 1..=LARGEST_BODY) => Ok(limit),
        _ => {
            let allowed = format!("1 to {LARGEST_BODY} bytes");
            Err(InvalidSetting::of(
                "body_limit",
                value,
                "not a size of a body",
                &allowed,
            ))
        }
    }
}
