//! Opens sockets and sets options that detect dead peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use tracing::debug;

/// How long a connection may be idle before the kernel sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);

/// The interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Opens a connection that is reset when it is dropped. There is no timeout; callers add
/// their own.
///
/// A request that its sender has abandoned must not be executed later. After an
/// ordinary close, bytes delayed by a partition still arrive; a reset discards them.
///
/// # Errors
///
/// Returns the error of the operating system. A refused connection may fail
/// only at the first write.
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

/// Disables Nagle's algorithm and enables keepalive probes, so that the kernel
/// closes connections to peers that do not respond.
pub fn configure_socket(stream: &TcpStream) {
    let outcome = stream.set_nodelay(true).and_then(|()| {
        stream.set_tcp_keepalive(
            Some(KEEPALIVE_IDLE),
            Some(KEEPALIVE_INTERVAL),
            Some(KEEPALIVE_PROBES),
        )
    });
    if let Err(error) = outcome {
        // Without these options, request timeouts still detect a dead peer.
        debug!(%error, "setting socket options failed");
    }
}
