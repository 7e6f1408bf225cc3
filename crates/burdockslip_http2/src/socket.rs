//! Adapters from `monoio` sockets to the traits that `h2` expects.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};
use monoio::net::TcpStream;
use monoio_compat::{AsyncRead, AsyncWrite, StreamWrapper, TcpStreamCompat};

use crate::Tls;

/// The timeout for connecting, including the TLS handshake; an unreachable
/// address may never answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The size of the read buffer and of the write buffer of a socket, in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// A connected socket, plain or encrypted.
pub(crate) trait Socket: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Socket for T {}

/// Connects to `address`, encrypted if `tls` is given.
pub(crate) async fn connect(address: SocketAddr, tls: Option<&Tls>) -> Result<Box<dyn Socket>> {
    let connecting = async {
        let stream = TcpStream::connect_addr(address)
            .await
            .change_context(ErrorKind::ConnectionLost)?;
        let stream = wrap(stream)?;
        match tls {
            Some(tls) => tls.connect(stream, address.ip()).await,
            None => Ok(Box::new(stream) as Box<dyn Socket>),
        }
    };
    timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| Report::new(ErrorKind::ConnectionLost))?
}

/// Wraps an accepted connection, encrypted if `tls` is given.
pub(crate) async fn accept(stream: TcpStream, tls: Option<&Tls>) -> Result<Box<dyn Socket>> {
    let stream = wrap(stream)?;
    match tls {
        Some(tls) => tls.accept(stream).await,
        None => Ok(Box::new(stream)),
    }
}

fn wrap(stream: TcpStream) -> Result<TcpStreamCompat> {
    stream
        .set_nodelay(true)
        .change_context(ErrorKind::ConnectionLost)?;
    Ok(StreamWrapper::new_with_buffer_size(
        stream,
        BUFFER_SIZE,
        BUFFER_SIZE,
    ))
}
