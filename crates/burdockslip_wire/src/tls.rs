//! TLS for the connections of clients.

use std::fmt;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};
use futures_rustls::TlsAcceptor;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::server;
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt};

/// The size of the read and write buffers of an encrypted socket, in bytes. Each
/// client holds both of them even while it is idle. TLS records may be longer.
const BUFFER_LEN: usize = 4 << 10;

/// An encrypted connection on which this host is the TLS server.
pub(crate) type TlsStream = server::TlsStream<Compat<StreamWrapper<TcpStream>>>;

/// The certificate and private key of a host; clones share them.
#[derive(Clone)]
pub struct ServerTls(TlsAcceptor);

impl ServerTls {
    /// Loads a certificate chain and its private key from PEM files.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if a file cannot be read or parsed, or if the key
    /// does not match the certificate.
    pub fn open(certificate: &Path, key: &Path) -> Result<Self> {
        let certificate = fs::read(certificate).change_context(ErrorKind::InvalidInput)?;
        let key = fs::read(key).change_context(ErrorKind::InvalidInput)?;
        let chain = rustls_pemfile::certs(&mut certificate.as_slice())
            .collect::<std::result::Result<Vec<_>, _>>()
            .change_context(ErrorKind::InvalidInput)?;
        let key = rustls_pemfile::private_key(&mut key.as_slice())
            .change_context(ErrorKind::InvalidInput)?
            .ok_or_else(|| Report::new(ErrorKind::InvalidInput))?;
        let config = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .change_context(ErrorKind::InvalidInput)?;
        Ok(Self(TlsAcceptor::from(Arc::new(config))))
    }

    /// Performs the TLS handshake on an accepted connection.
    pub(crate) async fn accept(&self, io: TcpStream) -> Result<Box<TlsStream>> {
        let io = StreamWrapper::new_with_buffer_size(io, BUFFER_LEN, BUFFER_LEN).compat();
        let stream = self.0.accept(io).await;
        Ok(Box::new(stream.change_context(ErrorKind::ConnectionLost)?))
    }
}

impl fmt::Debug for ServerTls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ServerTls")
    }
}
