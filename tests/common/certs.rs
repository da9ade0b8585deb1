//! Temporary certificate authority and node certificates.

use std::env;
use std::fs;
use std::path::PathBuf;

use mimosastep::net::Identity;
use mimosastep::net::NODE_DOMAIN;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;
use uuid::Uuid;

/// Certificate authority of a fleet; removes its files when dropped.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    dir: PathBuf,
}

/// PEM files of a node's certificate and key, and of the authority.
pub struct NodeFiles {
    pub ca: PathBuf,
    pub cert: PathBuf,
    pub key: PathBuf,
}

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("an authority");
        let dir = env::temp_dir().join(format!("mimosa-certs-{}", Uuid::new_v4()));
        fs::create_dir(&dir).expect("a directory");
        fs::write(dir.join("ca.pem"), issuer.pem()).expect("a file");
        Self { issuer, dir }
    }

    /// Issues a certificate for a new node and writes its files.
    pub fn node(&self, name: &str) -> NodeFiles {
        let params = CertificateParams::new([NODE_DOMAIN.to_owned()]).expect("a name");
        let key = KeyPair::generate().expect("a key");
        let cert = params.signed_by(&key, &self.issuer).expect("a certificate");
        let files = NodeFiles {
            ca: self.dir.join("ca.pem"),
            cert: self.dir.join(format!("{name}.pem")),
            key: self.dir.join(format!("{name}.key")),
        };
        fs::write(&files.cert, cert.pem()).expect("a file");
        fs::write(&files.key, key.serialize_pem()).expect("a file");
        files
    }

    /// Issues a certificate for a new node and loads it.
    pub fn identity(&self, name: &str) -> Identity {
        let files = self.node(name);
        Identity::open(&files.ca, &files.cert, &files.key).expect("an identity")
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}
