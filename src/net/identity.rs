//! TLS identity of a process: its certificate and the CA that all processes trust.

use std::path::Path;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::client::Resumption;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

use crate::net::NetError;

/// DNS name in the certificate of every node.
pub const NODE_DOMAIN: &str = "mimosa.node";

const ALPN_PROTOCOL: &[u8] = b"mimosa/1";

/// TLS configuration for links; both sides must present a certificate signed by the CA.
#[derive(Debug, Clone)]
pub struct Identity {
    pub(super) server: Arc<ServerConfig>,
    pub(super) client: Arc<ClientConfig>,
}

impl Identity {
    /// Reads the CA certificate, the certificate chain of this process and its key, each from PEM.
    ///
    /// # Errors
    /// [`NetError::Pem`] if a file cannot be read, [`NetError::Tls`] if TLS rejects its contents.
    pub fn open(ca: &Path, cert: &Path, key: &Path) -> Result<Self, NetError> {
        let provider = Arc::new(ring::default_provider());
        let roots = Arc::new(read_roots(ca)?);
        let chain = read_certs(cert)?;
        let key = PrivateKeyDer::from_pem_file(key).map_err(|err| pem_error(key, &err))?;
        let server = server_config(&provider, &roots, chain.clone(), key.clone_key())?;
        let client = client_config(&provider, &roots, chain, key)?;
        Ok(Self {
            server: Arc::new(server),
            client: Arc::new(client),
        })
    }
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, NetError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .map_err(|err| NetError::Tls(err.to_string()))?;
    let mut config = ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    // Without session tickets every connection verifies the certificates again.
    config.send_tls13_tickets = 0;
    Ok(config)
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, NetError> {
    let mut config = ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain, key)
        .map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    config.resumption = Resumption::disabled();
    Ok(config)
}

fn read_roots(path: &Path) -> Result<RootCertStore, NetError> {
    let mut roots = RootCertStore::empty();
    for cert in read_certs(path)? {
        roots.add(cert).map_err(tls_error)?;
    }
    Ok(roots)
}

fn read_certs(path: &Path) -> Result<Vec<CertificateDer<'static>>, NetError> {
    let certs = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|err| pem_error(path, &err))?;
    if certs.is_empty() {
        return Err(NetError::Pem(path.into(), "no certificate found".into()));
    }
    Ok(certs)
}

fn pem_error(path: &Path, err: &rustls_pki_types::pem::Error) -> NetError {
    NetError::Pem(path.into(), err.to_string())
}

fn tls_error(err: rustls::Error) -> NetError {
    NetError::Tls(err.to_string())
}
