//! Adapts `monoio` sockets to the traits that `h2` expects.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};
use monoio::net::TcpStream;
use monoio_compat::{AsyncRead, AsyncWrite, StreamWrapper};

/// Bounds the wait for a connection, since a cut network answers nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sizes the buffers on each side of a socket, in bytes.
const BUFFER: usize = 16 << 10;

/// Stands for a connected socket, plain or encrypted.
pub(crate) trait Socket: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Socket for T {}

/// Connects to `address`.
pub(crate) async fn connect(address: SocketAddr) -> Result<Box<dyn Socket>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address))
        .await
        .map_err(|_| Report::new(ErrorKind::ConnectionLost))?
        .change_context(ErrorKind::ConnectionLost)?;
    wrap(stream)
}

/// Prepares a connected stream.
pub(crate) fn wrap(stream: TcpStream) -> Result<Box<dyn Socket>> {
    stream
        .set_nodelay(true)
        .change_context(ErrorKind::ConnectionLost)?;
    Ok(Box::new(StreamWrapper::new_with_buffer_size(
        stream, BUFFER, BUFFER,
    )))
}
