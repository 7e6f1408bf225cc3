//! Encryption of connections and authentication of both ends by certificates.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};
use futures_rustls::{TlsAcceptor, TlsConnector};
use monoio_compat::TcpStreamCompat;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio_util::compat::{FuturesAsyncReadCompatExt, TokioAsyncReadCompatExt};

use crate::socket::Socket;

/// The ALPN identifier of HTTP/2.
const ALPN_PROTOCOL: &[u8] = b"h2";

/// The certificates that a host uses to connect and to accept connections.
///
/// Each end must present a certificate signed by the authority; that of a
/// server must be issued for the IP address to which the client connects.
#[derive(Clone)]
pub struct Tls {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

impl Tls {
    /// Reads a certificate chain, its private key and the certificates of the
    /// authority, each in PEM format.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if one of them cannot be used.
    pub fn new(certificate: &[u8], key: &[u8], authority: &[u8]) -> Result<Self> {
        let chain = read_certificates(certificate)?;
        let key = read_key(key)?;
        let mut roots = RootCertStore::empty();
        for root in read_certificates(authority)? {
            roots.add(root).change_context(ErrorKind::InvalidInput)?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let client = client_config(&provider, &roots, chain.clone(), key.clone_key())?;
        let server = server_config(&provider, &roots, chain, key)?;
        Ok(Self {
            connector: TlsConnector::from(Arc::new(client)),
            acceptor: TlsAcceptor::from(Arc::new(server)),
        })
    }

    pub(crate) async fn connect(
        &self,
        stream: TcpStreamCompat,
        address: IpAddr,
    ) -> Result<Box<dyn Socket>> {
        let name = ServerName::IpAddress(address.into());
        let stream = self
            .connector
            .connect(name, stream.compat())
            .await
            .change_context(ErrorKind::ConnectionLost)?;
        Ok(Box::new(stream.compat()))
    }

    pub(crate) async fn accept(&self, stream: TcpStreamCompat) -> Result<Box<dyn Socket>> {
        let stream = self
            .acceptor
            .accept(stream.compat())
            .await
            .change_context(ErrorKind::ConnectionLost)?;
        Ok(Box::new(stream.compat()))
    }
}

fn read_certificates(mut pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let certificates: Vec<_> = rustls_pemfile::certs(&mut pem)
        .collect::<std::io::Result<_>>()
        .change_context(ErrorKind::InvalidInput)?;
    if certificates.is_empty() {
        return Err(Report::new(ErrorKind::InvalidInput).attach("no certificate in the PEM text"));
    }
    Ok(certificates)
}

fn read_key(mut pem: &[u8]) -> Result<PrivateKeyDer<'static>> {
    rustls_pemfile::private_key(&mut pem)
        .change_context(ErrorKind::InvalidInput)?
        .ok_or_else(|| {
            Report::new(ErrorKind::InvalidInput).attach("no private key in the PEM text")
        })
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig> {
    let mut config = ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()
        .change_context(ErrorKind::InvalidInput)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain, key)
        .change_context(ErrorKind::InvalidInput)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    Ok(config)
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .change_context(ErrorKind::InvalidInput)?;
    let mut config = ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()
        .change_context(ErrorKind::InvalidInput)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .change_context(ErrorKind::InvalidInput)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    Ok(config)
}

impl fmt::Debug for Tls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Tls")
    }
}
