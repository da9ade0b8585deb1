//! Reads settings files and validates their fields.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde_saphyr::Spanned;

use crate::settings::BaseUrl;
use crate::settings::InvalidSetting;
use crate::settings::SettingsError;

const ALLOWED_ADDRESS: &str = "an IP address and a port, such as 127.0.0.1:7101";
const ALLOWED_NAME: &str = "1 to 64 of a-z A-Z 0-9 - _ .";
const ALLOWED_URL: &str = "http://, an IP address and a port, such as http://127.0.0.1:7000";

/// Deserializes the file at `path` into `R` and converts it to validated settings.
pub(super) fn load<R, S>(path: &Path) -> Result<S, SettingsError>
where
    R: DeserializeOwned,
    S: TryFrom<R, Error = InvalidSetting>,
{
    let text = fs::read_to_string(path).map_err(|err| SettingsError::Read(path.to_owned(), err))?;
    serde_saphyr::from_str::<R>(&text)
        .map_err(|err| InvalidSetting::from_parser(&err, &text))
        .and_then(S::try_from)
        .map_err(|invalid| SettingsError::InvalidSetting(path.to_owned(), invalid))
}

/// Parses an address to bind; with port 0 the operating system chooses a port.
pub(super) fn parse_bind_addr(
    field: &str,
    value: &Spanned<String>,
) -> Result<SocketAddr, InvalidSetting> {
    let invalid = |_| {
        InvalidSetting::in_field(
            field,
            value,
            "not an IP address with a port",
            ALLOWED_ADDRESS,
        )
    };
    value.value.parse().map_err(invalid)
}

/// Parses an address to connect to; port 0 is invalid.
pub(super) fn parse_remote_addr(
    field: &str,
    value: &Spanned<String>,
) -> Result<SocketAddr, InvalidSetting> {
    let addr = parse_bind_addr(field, value)?;
    if addr.port() == 0 {
        return Err(InvalidSetting::in_field(
            field,
            value,
            "port 0 cannot be reached",
            ALLOWED_ADDRESS,
        ));
    }
    Ok(addr)
}

/// Parses the base URL of an HTTP server.
pub(super) fn parse_url(field: &str, value: &Spanned<String>) -> Result<BaseUrl, InvalidSetting> {
    let invalid = |reason| InvalidSetting::in_field(field, value, reason, ALLOWED_URL);
    value.value.parse().map_err(invalid)
}

/// Parses a name of type `N`.
pub(super) fn parse_name<N>(field: &str, value: &Spanned<String>) -> Result<N, InvalidSetting>
where
    N: TryFrom<String, Error = crate::name::NameError>,
{
    let invalid = |err| InvalidSetting::in_field(field, value, err, ALLOWED_NAME);
    value.value.clone().try_into().map_err(invalid)
}

/// Returns the path of a file, which must exist.
pub(super) fn parse_file(field: &str, value: &Spanned<String>) -> Result<PathBuf, InvalidSetting> {
    let path = PathBuf::from(&value.value);
    if !path.is_file() {
        let reason = format!("no such file: {}", path.display());
        return Err(InvalidSetting::in_field(
            field,
            value,
            reason,
            "a file that can be read",
        ));
    }
    Ok(path)
}
