//! Waits until a socket can be read.

use std::io;

use monoio::net::TcpStream;

/// Waits until bytes or the end of the stream can be read.
///
/// Asks the operating system, because the readiness that the runtime remembers
/// outlives the bytes it was about. A signal that arrives meanwhile interrupts
/// this look and says nothing about the connection.
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
