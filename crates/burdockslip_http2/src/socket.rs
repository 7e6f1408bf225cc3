//! Adapts `monoio` sockets to the traits that `h2` expects.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};
use monoio::net::TcpStream;
use monoio_compat::{AsyncRead, AsyncWrite, StreamWrapper, TcpStreamCompat};

use crate::Tls;

/// Bounds the wait for a connection, since a cut network answers nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sizes the buffers on each side of a socket, in bytes.
const BUFFER: usize = 16 << 10;

/// Stands for a connected socket, plain or encrypted.
pub(crate) trait Socket: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Socket for T {}

/// Connects to `address`, encrypted if there are certificates.
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

/// Takes over an accepted connection, encrypted if there are certificates.
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
    Ok(StreamWrapper::new_with_buffer_size(stream, BUFFER, BUFFER))
}
