//! From a file to checked settings.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde_saphyr::Spanned;

use crate::settings::BaseUrl;
use crate::settings::InvalidSetting;
use crate::settings::SettingsError;

const ADDRESS: &str = "an IP number and a port, as 127.0.0.1:7101";
const NAME: &str = "1 to 64 of a-z A-Z 0-9 - _ .";
const URL: &str = "http://, an IP number and a port, as http://127.0.0.1:7000";

/// Reads the wire form `W` from the file at `path` and checks it.
pub(super) fn open<W, S>(path: &Path) -> Result<S, SettingsError>
where
    W: DeserializeOwned,
    S: TryFrom<W, Error = InvalidSetting>,
{
    let text = fs::read_to_string(path).map_err(|err| SettingsError::Read(path.to_owned(), err))?;
    serde_saphyr::from_str::<W>(&text)
        .map_err(|err| InvalidSetting::found(&err, &text))
        .and_then(S::try_from)
        .map_err(|fault| SettingsError::InvalidSetting(path.to_owned(), fault))
}

/// An address to bind; port 0 lets the system choose.
pub(super) fn bindable(field: &str, value: &Spanned<String>) -> Result<SocketAddr, InvalidSetting> {
    let fault = |_| InvalidSetting::of(field, value, "not an IP number with a port", ADDRESS);
    value.value.parse().map_err(fault)
}

/// An address to connect to.
pub(super) fn reachable(
    field: &str,
    value: &Spanned<String>,
) -> Result<SocketAddr, InvalidSetting> {
    let addr = bindable(field, value)?;
    if addr.port() == 0 {
        return Err(InvalidSetting::of(
            field,
            value,
            "port 0 cannot be reached",
            ADDRESS,
        ));
    }
    Ok(addr)
}

/// The address of an HTTP server.
pub(super) fn url(field: &str, value: &Spanned<String>) -> Result<BaseUrl, InvalidSetting> {
    let fault = |why| InvalidSetting::of(field, value, why, URL);
    value.value.parse().map_err(fault)
}

/// A name of the kind `N`.
pub(super) fn name<N>(field: &str, value: &Spanned<String>) -> Result<N, InvalidSetting>
where
    N: TryFrom<String, Error = crate::name::NameError>,
{
    let fault = |err| InvalidSetting::of(field, value, err, NAME);
    value.value.clone().try_into().map_err(fault)
}

/// A file that exists.
pub(super) fn file(field: &str, value: &Spanned<String>) -> Result<PathBuf, InvalidSetting> {
    let path = PathBuf::from(&value.value);
    if !path.is_file() {
        let why = format!("no such file: {}", path.display());
        return Err(InvalidSetting::of(
            field,
            value,
            why,
            "a file that can be read",
        ));
    }
    Ok(path)
}
