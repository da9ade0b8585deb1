//! Settings of the TLS identity of a node.

use std::path::PathBuf;

use crate::net::Identity;
use crate::net::NetError;
use crate::settings::InvalidSetting;
use crate::settings::raw::RawTls;
use crate::settings::read::parse_file;

/// Paths of PEM files; relative paths start at the working directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate of the CA that all processes trust.
    pub ca: PathBuf,
    /// Certificate chain of the node.
    pub cert: PathBuf,
    /// Private key of the node.
    pub key: PathBuf,
}

impl TlsSettings {
    /// Reads the files into an identity.
    ///
    /// # Errors
    /// Those of [`Identity::open`].
    pub fn identity(&self) -> Result<Identity, NetError> {
        Identity::open(&self.ca, &self.cert, &self.key)
    }
}

impl TryFrom<RawTls> for TlsSettings {
    type Error = InvalidSetting;

    fn try_from(raw: RawTls) -> Result<Self, InvalidSetting> {
        Ok(Self {
            ca: parse_file("tls.ca", &raw.ca)?,
            cert: parse_file("tls.cert", &raw.cert)?,
            key: parse_file("tls.key", &raw.key)?,
        })
    }
}
