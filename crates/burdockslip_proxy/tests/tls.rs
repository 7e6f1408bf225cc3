//! Connects clients over TLS.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;

use burdockslip_wire::{ServerTls, split_frames};
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use support::raw::{Raw, startup, tagged, untagged};
use support::{Running, start_hosts};

/// Starts a site whose hosts demand TLS, and a configuration that trusts them.
fn start_encrypted(name: &str) -> (Running, Arc<ClientConfig>) {
    let issued = rcgen::generate_simple_self_signed(["localhost".to_owned()]).expect("issued");
    let path =
        |part: &str| PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.{part}"));
    std::fs::write(path("crt"), issued.cert.pem()).expect("certificate is written");
    std::fs::write(path("key"), issued.signing_key.serialize_pem()).expect("key is written");
    let mut roots = RootCertStore::empty();
    roots.add(issued.cert.der().clone()).expect("trusted");
    let config = ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let tls = ServerTls::open(&path("crt"), &path("key")).expect("files are valid");
    (
        start_hosts(move |options| options.tls = Some(tls.clone())),
        Arc::new(config),
    )
}

/// Reads whole messages until one has the given type.
fn read_until(stream: &mut impl Read, tag: u8) -> Vec<u8> {
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).expect("host answers");
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len - 4];
        stream.read_exact(&mut body).expect("host answers");
        if head[0] == tag {
            return body;
        }
    }
}

/// Guards sessions over TLS: keys, statements and answers larger than a record.
#[test]
fn clients_are_served_over_tls() {
    let (site, config) = start_encrypted("served");
    let mut socket = TcpStream::connect(site.client_address(0)).expect("host accepts");
    socket
        .write_all(&untagged(&[4, 210, 22, 47]))
        .expect("sent");
    let mut answer = [0];
    socket.read_exact(&mut answer).expect("host answers");
    assert_eq!(&answer, b"S");
    let name = ServerName::try_from("localhost").expect("valid name");
    let client = ClientConnection::new(config, name).expect("valid configuration");
    let mut stream = StreamOwned::new(client, socket);
    let first = startup(&[("user", "airline"), ("database", "records")]);
    stream.write_all(&first).expect("sent");
    read_until(&mut stream, b'R');
    let password = tagged(b'p', &[site.airline.as_bytes(), b"\0"].concat());
    stream.write_all(&password).expect("sent");
    read_until(&mut stream, b'Z');
    for len in [1, 100_000] {
        let query = format!("SELECT fill(3, {len})\0");
        stream
            .write_all(&tagged(b'Q', query.as_bytes()))
            .expect("sent");
        let row = read_until(&mut stream, b'D');
        assert_eq!(row.len(), len + 6);
        read_until(&mut stream, b'Z');
    }
}

/// Guards keys against clear text when a host has a certificate.
#[test]
fn plain_clients_are_refused() {
    let (site, _) = start_encrypted("refused");
    let mut raw = Raw::open(site.client_address(0));
    raw.send(&startup(&[("user", "airline"), ("database", "records")]));
    let bytes = raw.read_to_end();
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains("28P01") && text.contains("TLS"), "{text}");
    assert_eq!(split_frames(bytes.into()).expect("whole messages").len(), 1);
}

/// Guards against plain text that someone on the way puts before the
/// handshake, which would count as sent by the client.
#[test]
fn plain_text_before_the_handshake_is_refused() {
    let (site, config) = start_encrypted("injected");
    let mut socket = TcpStream::connect(site.client_address(0)).expect("host accepts");
    let first = startup(&[("user", "airline"), ("database", "records")]);
    let injected = [untagged(&[4, 210, 22, 47]), first].concat();
    socket.write_all(&injected).expect("sent");
    let mut answer = [0];
    socket.read_exact(&mut answer).expect("host answers");
    let name = ServerName::try_from("localhost").expect("valid name");
    let client = ClientConnection::new(config, name).expect("valid configuration");
    let mut stream = StreamOwned::new(client, socket);
    let mut request = [0];
    let result = stream.read_exact(&mut request);
    assert!(result.is_err(), "the injected text was answered");
}
