//! The certificate authority of a site.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;

/// DNS name in the certificate of every process.
const NODE_DOMAIN: &str = "mimosa.node";

/// A certificate authority whose key exists only in memory, for one site.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    dir: PathBuf,
}

impl Authority {
    /// Creates an authority and writes its certificate to `dir`.
    ///
    /// # Errors
    /// If no key can be generated or the file cannot be written.
    pub fn create(dir: &Path) -> Result<Self, Box<dyn Error>> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        fs::write(dir.join("ca.pem"), issuer.pem())?;
        Ok(Self {
            issuer,
            dir: dir.to_owned(),
        })
    }

    /// Issues a certificate and returns the YAML settings that name its files.
    ///
    /// # Errors
    /// If no key can be generated or the files cannot be written.
    pub fn issue(&self, node: &str) -> Result<String, Box<dyn Error>> {
        let params = CertificateParams::new([NODE_DOMAIN.to_owned()])?;
        let key = KeyPair::generate()?;
        let cert = params.signed_by(&key, &self.issuer)?;
        let path = |ending: &str| self.dir.join(format!("{node}.{ending}"));
        fs::write(path("pem"), cert.pem())?;
        fs::write(path("key"), key.serialize_pem())?;
        Ok(format!(
            "tls:\n  ca: {}\n  cert: {}\n  key: {}\n",
            self.dir.join("ca.pem").display(),
            path("pem").display(),
            path("key").display(),
        ))
    }
}
