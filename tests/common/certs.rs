//! Certificates of a fleet that lives as long as a test.

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

/// A fleet's authority; its files are removed with it.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    dir: PathBuf,
}

/// Files of a node's identity, in PEM.
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

    /// Writes the files of a node.
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

    /// The identity of a new node.
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
