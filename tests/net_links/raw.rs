//! QUIC connections below the links, to show what a peer that breaks the rules can do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use compio::time::timeout;
use compio_quic::ClientConfig;
use compio_quic::Connection;
use compio_quic::ConnectionError;
use compio_quic::Endpoint;
use compio_quic::EndpointConfig;
use compio_quic::ServerConfig;
use compio_quic::crypto::rustls::QuicClientConfig;
use mimosastep::net::NODE_DOMAIN;
use rustls::RootCertStore;
use rustls::crypto::ring;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

use crate::certs::NodeFiles;

const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Address of a free port.
pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Output of `work`, which must end in time.
pub async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    timeout(EVENT_TIMEOUT, work).await.expect("in time")
}

/// QUIC client configuration that trusts `authority` and presents `own`, if given.
pub fn raw_client(authority: &NodeFiles, own: Option<&NodeFiles>) -> ClientConfig {
    let mut roots = RootCertStore::empty();
    let ca = CertificateDer::from_pem_file(&authority.ca).expect("a certificate");
    roots.add(ca).expect("an authority");
    let builder = rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_root_certificates(roots);
    let mut tls = match own {
        None => builder.with_no_client_auth(),
        Some(own) => {
            let (chain, key) = load_pair(own);
            builder.with_client_auth_cert(chain, key).expect("a pair")
        }
    };
    tls.alpn_protocols = vec![b"mimosa/1".to_vec()];
    ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls).expect("QUIC")))
}

/// Certificate chain and key of a node.
pub fn load_pair(files: &NodeFiles) -> (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>) {
    let cert = CertificateDer::from_pem_file(&files.cert).expect("a certificate");
    let key = PrivateKeyDer::from_pem_file(&files.key).expect("a key");
    (vec![cert], key)
}

/// QUIC endpoint at a free port.
pub async fn raw_endpoint(server: Option<ServerConfig>) -> Endpoint {
    let socket = UdpSocket::bind(loopback()).await.expect("a socket");
    Endpoint::new(socket, EndpointConfig::default(), server, None).expect("an endpoint")
}

/// Connects to the mesh at `addr`.
pub async fn raw_connect(
    endpoint: &Endpoint,
    addr: SocketAddr,
    config: ClientConfig,
) -> Result<Connection, ConnectionError> {
    let connecting = endpoint.connect(addr, NODE_DOMAIN, Some(config));
    with_timeout(connecting.expect("a connection")).await
}
