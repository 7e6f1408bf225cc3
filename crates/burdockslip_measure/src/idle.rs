//! Clients that have signed in and send nothing.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};

use crate::load::Target;

/// The timeout of a read from the host.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The protocol version, 3.0.
const PROTOCOL: i32 = 196_608;

/// Idle connections, each of which costs this process a descriptor and no memory.
///
/// They are blocking sockets without buffers, so that resident memory grows
/// only by the state that the host keeps for them.
#[derive(Debug, Default)]
pub struct IdleClients(Vec<TcpStream>);

impl IdleClients {
    /// Connects until there are `count` clients.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the target refuses a connection.
    pub fn grow(&mut self, target: &Target, count: usize) -> Result<()> {
        while self.0.len() < count {
            self.0.push(connect(target)?);
        }
        Ok(())
    }
}

fn connect(target: &Target) -> Result<TcpStream> {
    let mut stream =
        TcpStream::connect(target.address).change_context(ErrorKind::ConnectionLost)?;
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .change_context(ErrorKind::ConnectionLost)?;
    let parameters = format!("user\0{}\0database\0{}\0\0", target.user, target.database);
    let startup = [&PROTOCOL.to_be_bytes(), parameters.as_bytes()].concat();
    send(&mut stream, &[], &startup)?;
    loop {
        let (tag, body) = receive(&mut stream)?;
        match (tag, body.as_slice()) {
            (b'R', [0, 0, 0, 3]) => {
                send(
                    &mut stream,
                    b"p",
                    format!("{}\0", target.password).as_bytes(),
                )?;
            }
            (b'Z', _) => return Ok(stream),
            (b'E', _) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                return Err(Report::new(ErrorKind::ConnectionLost).attach(text));
            }
            _ => {}
        }
    }
}

fn send(stream: &mut TcpStream, tag: &[u8], body: &[u8]) -> Result<()> {
    let len = u32::try_from(body.len() + 4).change_context(ErrorKind::TooLarge)?;
    let message = [tag, &len.to_be_bytes(), body].concat();
    stream
        .write_all(&message)
        .change_context(ErrorKind::ConnectionLost)
}

fn receive(stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream
        .read_exact(&mut header)
        .change_context(ErrorKind::ConnectionLost)?;
    let [tag, len @ ..] = header;
    let len = (u32::from_be_bytes(len) as usize).saturating_sub(4);
    let mut body = vec![0; len];
    stream
        .read_exact(&mut body)
        .change_context(ErrorKind::ConnectionLost)?;
    Ok((tag, body))
}
