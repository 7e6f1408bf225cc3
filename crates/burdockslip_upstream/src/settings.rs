//! Connects, and sets socket options that reveal dead peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use tracing::debug;

/// How long a connection is idle before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);

/// How often an idle connection is probed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection breaks.
const KEEPALIVE_PROBES: u32 = 2;

/// Opens a connection that is reset when it is dropped; the caller bounds the time.
///
/// What its sender has given up must not be carried out later. Bytes that a
/// partition holds up still arrive after a plain close; a reset discards them.
///
/// # Errors
///
/// Returns the system's error; a refused connection may fail at its first write only.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_linger(Some(Duration::ZERO))?;
    if let Err(error) = socket.connect(&address.into())
        && Errno::from_io_error(&error) != Some(Errno::INPROGRESS)
    {
        return Err(error);
    }
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    configure_socket(&stream);
    Ok(stream)
}

/// Disables delays and makes the kernel break connections to silent peers.
pub fn configure_socket(stream: &TcpStream) {
    let outcome = stream.set_nodelay(true).and_then(|()| {
        stream.set_tcp_keepalive(
            Some(KEEPALIVE_IDLE),
            Some(KEEPALIVE_INTERVAL),
            Some(KEEPALIVE_PROBES),
        )
    });
    if let Err(error) = outcome {
        // The time limits of requests still hold without these options.
        debug!(%error, "socket option refused");
    }
}
