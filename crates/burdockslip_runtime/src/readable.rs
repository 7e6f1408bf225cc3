//! Waiting until a socket is readable.

use std::io;

use monoio::net::TcpStream;

/// Waits until the socket has bytes or the end of the stream to read.
///
/// Polls the operating system, because the readiness cached by the runtime
/// stays set after the bytes were read. A poll that is interrupted by a signal
/// is repeated, since that is no error of the connection.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn readable(stream: &TcpStream) -> io::Result<()> {
    loop {
        match stream.readable(false).await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            outcome => return outcome,
        }
    }
}
