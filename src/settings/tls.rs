//! Files of a node's identity.

use std::path::PathBuf;

use crate::net::Identity;
use crate::net::NetError;
use crate::settings::InvalidSetting;
use crate::settings::raw::RawTls;
use crate::settings::read::file;

/// Files in PEM; a relative path starts at the working directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate of the fleet's authority.
    pub ca: PathBuf,
    /// The node's certificate chain.
    pub cert: PathBuf,
    /// The node's key.
    pub key: PathBuf,
}

impl TlsSettings {
    /// Reads the files.
    ///
    /// # Errors
    /// As [`Identity::open`].
    pub fn identity(&self) -> Result<Identity, NetError> {
        Identity::open(&self.ca, &self.cert, &self.key)
    }
}

impl TryFrom<RawTls> for TlsSettings {
    type Error = InvalidSetting;

    fn try_from(wire: RawTls) -> Result<Self, InvalidSetting> {
        Ok(Self {
            ca: file("tls.ca", &wire.ca)?,
            cert: file("tls.cert", &wire.cert)?,
            key: file("tls.key", &wire.key)?,
        })
    }
}
