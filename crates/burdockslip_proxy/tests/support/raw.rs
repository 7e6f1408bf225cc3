//! Speaks to a host byte by byte, as broken and hostile programs do.

// Each test program uses another part of this module.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use burdockslip_wire::{Frame, decode_error};
use bytes::Bytes;

use super::Running;

/// Time within which a host has to answer or close, far above the limits that
/// the tests set; running into it fails the test.
const DEADLINE: Duration = Duration::from_secs(20);

/// Holds one connection that sends whatever a test wants.
pub(crate) struct Raw {
    stream: TcpStream,
}

impl Raw {
    pub(crate) fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("host accepts");
        stream
            .set_read_timeout(Some(DEADLINE))
            .expect("timeout is set");
        stream
            .set_write_timeout(Some(DEADLINE))
            .expect("timeout is set");
        Self { stream }
    }

    /// Opens a session of the organisation `airline`; returns its process number and secret.
    pub(crate) fn sign_in(site: &Running, host: usize) -> (Self, [u8; 8]) {
        let mut raw = Self::open(site.client_address(host));
        raw.send(&startup(&[("user", "airline"), ("database", "records")]));
        assert_eq!(raw.frame().tag(), b'R');
        raw.send(&tagged(b'p', &[site.airline.as_bytes(), b"\0"].concat()));
        let mut key = [0; 8];
        loop {
            let frame = raw.frame();
            match frame.tag() {
                b'K' => key.copy_from_slice(frame.body()),
                b'Z' => return (raw, key),
                b'R' | b'S' => {}
                tag => panic!("unexpected message {}", char::from(tag)),
            }
        }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.try_send(bytes).expect("host takes bytes");
    }

    /// Sends bytes to a host that may close before it has read them.
    pub(crate) fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Ends the sending direction and keeps the other one open.
    pub(crate) fn half_close(&self) {
        self.stream
            .shutdown(std::net::Shutdown::Write)
            .expect("connection is open");
    }

    pub(crate) fn frame(&mut self) -> Frame {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).expect("host answers");
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut bytes = head.to_vec();
        bytes.resize(len + 1, 0);
        self.stream
            .read_exact(&mut bytes[5..])
            .expect("host answers");
        Frame::new(Bytes::from(bytes)).expect("length is right")
    }

    /// Reads until the host has closed and returns all it has sent.
    pub(crate) fn read_to_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        match self.stream.read_to_end(&mut bytes) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => panic!("host neither answers nor closes: {error}"),
        }
        bytes
    }

    /// Waits for the end and returns the SQLSTATE of the last error before it.
    pub(crate) fn last_error(&mut self) -> Option<String> {
        let frames =
            burdockslip_wire::split_frames(self.read_to_end().into()).expect("whole messages");
        let error = frames.iter().rfind(|frame| frame.tag() == b'E')?;
        Some(decode_error(error).expect("error is well formed").0)
    }
}

/// Builds a startup message of protocol 3.0.
pub(crate) fn startup(parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut body = vec![0, 3, 0, 0];
    for text in parameters.iter().flat_map(|(name, value)| [name, value]) {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    untagged(&body)
}

/// Builds a message without a type, as those before authentication are.
pub(crate) fn untagged(body: &[u8]) -> Vec<u8> {
    let len = u32::try_from(body.len() + 4).expect("short message");
    [&len.to_be_bytes(), body].concat()
}

/// Builds a message with a type.
pub(crate) fn tagged(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], untagged(body).as_slice()].concat()
}
