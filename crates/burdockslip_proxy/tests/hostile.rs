//! Hostile clients and peers over loopback sockets; a well-behaved client must
//! be served throughout.

mod support;

use std::time::Duration;

use burdockslip_keys::Key;
use burdockslip_peer::{MESSAGE_LIMIT, VERSION};
use burdockslip_proxy::Options;
use postgres::NoTls;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::raw::{Raw, startup, tagged, untagged};
use support::{Running, sqlstate, start_hosts, value};
use yare::parameterized;

/// The timeouts of hosts in these tests, short enough to wait for.
const SHORT: Duration = Duration::from_millis(300);

/// The maximum number of bytes that a host may accept from a client that does
/// not read. It covers the socket buffers of both sides, which the kernel sizes,
/// and a few units.
const UNREAD_BOUND: usize = 64 << 20;

fn shorten(options: &mut Options) {
    options.startup_timeout = SHORT;
    options.unit_timeout = SHORT;
    options.write_timeout = SHORT;
}

fn start_short() -> Running {
    start_hosts(shorten)
}

/// Waits until only the session of `client` remains, and checks that it and new
/// clients are served.
fn assert_served(site: &Running, client: &mut postgres::Client) {
    assert_eq!(value(client, "SELECT 1").as_deref(), Some("1"));
    while site.with(|site| {
        site.hosts[0]
            .as_ref()
            .map(burdockslip_proxy::Proxy::session_count)
    }) != Some(1)
    {}
    let mut next = site.connect(0);
    assert_eq!(value(&mut next, "SELECT 1").as_deref(), Some("1"));
}

/// Guards against an invalid first message that keeps its connection open or
/// allocates memory for an announced length.
#[parameterized(
    silent = { Vec::new(), "08P01" },
    one_byte = { vec![0], "08P01" },
    length_too_short = { vec![0, 0, 0, 4], "08P01" },
    length_zero = { vec![0; 8], "08P01" },
    length_too_large = { vec![0xff; 8], "54000" },
    old_version = { untagged(&[0, 2, 0, 0, 0]), "08P01" },
    newer_version = { untagged(&[0, 4, 0, 0, 0]), "08P01" },
    unknown_code = { untagged(&[4, 210, 22, 99]), "08P01" },
    cut_short = { startup(&[("user", "airline")])[..12].to_vec(), "08P01" },
    no_terminator = { untagged(&[0, 3, 0, 0, b'u', b's']), "08P01" },
    not_text = { startup(&[("user", "airline")]).into_iter().map(|b| if b == b'u' { 0xff } else { b }).collect(), "08P01" },
    cancel_cut_short = { untagged(&[4, 210, 22, 46, 0]), "08P01" },
)]
fn bad_start_ends(bytes: Vec<u8>, expected: &str) {
    let site = start_short();
    let mut other = site.connect(0);
    let mut raw = Raw::open(site.client_address(0));
    raw.send(&bytes);
    assert_eq!(raw.last_error().as_deref(), Some(expected));
    assert_served(&site, &mut other);
}

/// Guards against an invalid answer to the password request, and against
/// allocating memory for a long one before the client has authenticated.
#[parameterized(
    silent = { Vec::new(), "08P01" },
    another_message = { tagged(b'Q', b"SELECT 1\0"), "08P01" },
    no_terminator = { tagged(b'p', b"x"), "08P01" },
    empty = { tagged(b'p', b""), "08P01" },
    announced_too_long = { vec![b'p', 0, 12, 0, 0], "54000" },
    negative_length = { vec![b'p', 0xff, 0xff, 0xff, 0xff], "54000" },
)]
fn bad_password_message_ends(bytes: Vec<u8>, expected: &str) {
    let site = start_short();
    let mut other = site.connect(0);
    let mut raw = Raw::open(site.client_address(0));
    raw.send(&startup(&[("user", "airline"), ("database", "records")]));
    assert_eq!(raw.frame().tag(), b'R');
    raw.send(&bytes);
    assert_eq!(raw.last_error().as_deref(), Some(expected));
    assert_served(&site, &mut other);
}

/// Guards against invalid messages from an authenticated client.
#[parameterized(
    one_byte = { vec![b'Q'], "08P01" },
    cut_short = { tagged(b'Q', b"SELECT 1\0")[..8].to_vec(), "08P01" },
    no_sync = { tagged(b'P', b"\0SELECT 1\0\0\0"), "08P01" },
    no_terminator = { tagged(b'Q', b"SELECT 1"), "08P01" },
    not_text = { tagged(b'Q', &[0xff, 0xfe, 0]), "08P01" },
    unknown_type = { tagged(0x7f, b""), "08P01" },
    length_too_short = { vec![b'Q', 0, 0, 0, 3], "08P01" },
    length_too_large = { vec![b'Q', 0xff, 0xff, 0xff, 0xff], "54000" },
    too_many_messages = { tagged(b'C', b"S\0").repeat(10_001), "54000" },
)]
fn bad_message_ends_the_session(bytes: Vec<u8>, expected: &str) {
    let site = start_short();
    let mut other = site.connect(0);
    let (mut raw, _) = Raw::sign_in(&site, 0);
    raw.send(&bytes);
    assert_eq!(raw.last_error().as_deref(), Some(expected));
    assert_served(&site, &mut other);
}

/// Guards against random bytes, also as the body of messages with a valid header.
/// The session may continue or end, but no other session may be affected.
#[test]
fn random_bytes_end_only_their_own_connection() {
    let site = start_short();
    let mut other = site.connect(0);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for n in 0..60 {
        let mut bytes = vec![0; random.random_range(1..4000)];
        random.fill_bytes(&mut bytes);
        let mut raw = match n % 3 {
            0 => Raw::open(site.client_address(0)),
            1 => Raw::sign_in(&site, 0).0,
            _ => {
                bytes = tagged(b"QPBDECSH"[n / 3 % 8], &bytes);
                bytes.extend_from_slice(&tagged(b'X', b""));
                Raw::sign_in(&site, 0).0
            }
        };
        // Fails if the host closes the connection after the first bytes.
        let _ = raw.try_send(&bytes);
        raw.read_to_end();
    }
    assert_served(&site, &mut other);
}

/// Guards against connections that stay open after the client has closed its
/// sending side, before or in the middle of a message.
#[test]
fn half_open_connections_end() {
    let site = start_short();
    let mut other = site.connect(0);
    for sent in [0, 1, 20] {
        let first = startup(&[("user", "airline"), ("database", "records")]);
        let mut raw = Raw::open(site.client_address(0));
        raw.send(&first[..sent]);
        raw.half_close();
        raw.read_to_end();
        let (mut raw, _) = Raw::sign_in(&site, 0);
        raw.send(&tagged(b'Q', b"SELECT 'some text'\0")[..sent]);
        raw.half_close();
        raw.read_to_end();
    }
    assert_served(&site, &mut other);
}

/// Guards against a client that does not read its answer and so occupies memory and
/// a database slot.
#[test]
fn client_that_does_not_read_is_closed() {
    let site = start_short();
    let mut other = site.connect(0);
    let (mut raw, _) = Raw::sign_in(&site, 0);
    raw.send(&tagged(b'Q', b"SELECT fill(30000, 1000)\0"));
    // Loops until the host has disconnected the client.
    while site.with(|site| {
        site.hosts[0]
            .as_ref()
            .map(burdockslip_proxy::Proxy::session_count)
    }) != Some(1)
    {}
    while site.with(|site| site.group.busy_slots().iter().sum::<usize>()) > 0 {}
    assert_served(&site, &mut other);
    drop(raw);
}

/// Guards against unbounded memory for a client that keeps sending and does not
/// read its answers.
#[test]
fn endless_requests_are_not_gathered() {
    let site = start_short();
    let mut other = site.connect(0);
    let (mut raw, _) = Raw::sign_in(&site, 0);
    let request = tagged(b'Q', b"SHOW server_version\0").repeat(1000);
    let mut sent = 0;
    while raw.try_send(&request).is_ok() {
        sent += request.len();
        assert!(
            sent < UNREAD_BOUND,
            "the host buffers requests without limit"
        );
    }
    assert_served(&site, &mut other);
}

/// Guards against an unauthenticated client that requests encryption in an endless loop.
#[test]
fn endless_encryption_requests_end() {
    let site = start_short();
    let mut other = site.connect(0);
    let mut raw = Raw::open(site.client_address(0));
    let request = untagged(&[4, 210, 22, 48]).repeat(1000);
    while raw.try_send(&request).is_ok() {}
    assert_served(&site, &mut other);
}

/// Guards against a client that occupies the thread by sending messages without
/// `Sync` after a `Flush`.
#[test]
fn endless_messages_after_flush_end() {
    let site = start_short();
    let mut other = site.connect(0);
    let (mut raw, _) = Raw::sign_in(&site, 0);
    raw.send(&tagged(b'H', b""));
    let messages = tagged(b'C', b"S\0").repeat(1000);
    while raw.try_send(&messages).is_ok() {}
    assert_served(&site, &mut other);
}

/// Guards connected clients when others connect above the limit.
#[test]
fn connections_above_the_limit_are_refused() {
    let site = start_hosts(|options| {
        shorten(options);
        options.client_limit = 2;
    });
    let mut other = site.connect(0);
    let (kept, _) = Raw::sign_in(&site, 0);
    let refused: Vec<Raw> = (0..200)
        .map(|_| Raw::open(site.client_address(0)))
        .collect();
    for mut raw in refused {
        assert_eq!(raw.last_error().as_deref(), Some("53300"));
    }
    assert_eq!(value(&mut other, "SELECT 1").as_deref(), Some("1"));
    drop(kept);
    assert_served(&site, &mut other);
}

/// Guards against access with unknown or altered keys, or with the keys of other
/// organisations.
#[test]
fn keys_of_others_are_refused() {
    let site = start_short();
    let mut other = site.connect(0);
    let mut altered = site.airline.clone();
    let last = altered.pop().expect("keys are not empty");
    altered.push(if last == 'a' { 'b' } else { 'a' });
    let unknown = Key::generate().reveal().to_string();
    for (user, key) in [
        ("airline", unknown.as_str()),
        ("airline", altered.as_str()),
        ("airline", site.club.as_str()),
        ("club", site.airline.as_str()),
        ("nobody", site.airline.as_str()),
        ("", site.airline.as_str()),
        ("airline", ""),
    ] {
        let mut raw = Raw::open(site.client_address(0));
        raw.send(&startup(&[("user", user), ("database", "records")]));
        assert_eq!(raw.frame().tag(), b'R');
        raw.send(&tagged(b'p', &[key.as_bytes(), b"\0"].concat()));
        assert_eq!(raw.last_error().as_deref(), Some("28P01"), "user {user}");
    }
    assert_served(&site, &mut other);
}

/// Guards against session tokens that are altered or belong to another organisation.
#[test]
fn tokens_of_others_are_refused() {
    let site = start_short();
    let mut other = site.connect(0);
    other
        .batch_execute("INSERT INTO records (key, value) VALUES ('a', '1')")
        .expect("write runs");
    let token = value(&mut other, "SHOW burdockslip.token").expect("token is shown");
    let mut altered = token.clone();
    altered.replace_range(4..6, if &token[4..6] == "AA" { "BB" } else { "AA" });
    let mut config = site.config(1);
    config.user("club").password(&site.club).dbname("open");
    let mut club = config.connect(NoTls).expect("route is open");
    for text in [&token, &altered, "", "%"] {
        let with_token = config.options(&format!("-c burdockslip.token={text}"));
        let Err(error) = with_token.connect(NoTls) else {
            panic!("token was accepted");
        };
        assert_eq!(sqlstate(&error), "22023");
        let error = club
            .batch_execute(&format!("SET burdockslip.token = '{text}'"))
            .expect_err("token is refused");
        assert_eq!(sqlstate(&error), "22023");
    }
    assert_eq!(value(&mut club, "SELECT 1").as_deref(), Some("1"));
    drop(club);
    assert_served(&site, &mut other);
}

/// Guards against cancel requests with a guessed secret, at any host.
#[test]
fn guessed_cancel_secrets_cancel_nothing() {
    let site = start_short();
    let mut other = site.connect(0);
    let (mut raw, key) = Raw::sign_in(&site, 0);
    raw.send(&tagged(b'Q', b"SELECT pg_sleep(1)\0"));
    while !site.with(|site| {
        let texts = site.group.received_texts();
        texts.iter().any(|text| text.contains("pg_sleep"))
    }) {}
    let (process, secret) = key.split_at(4);
    for n in 1..50 {
        let guess: Vec<u8> = secret.iter().map(|byte| byte.wrapping_add(n)).collect();
        let mut guessing = Raw::open(site.client_address(usize::from(n) % 3));
        guessing.send(&untagged(&[&[4, 210, 22, 46], process, &guess].concat()));
        assert_eq!(guessing.read_to_end(), b"", "a guess got an answer");
    }
    while raw.frame().tag() != b'C' {}
    drop(raw);
    assert_served(&site, &mut other);
}

/// Guards against random bytes and invalid HTTP/2 messages at the address for
/// other hosts.
#[test]
fn forged_peers_disturb_nobody() {
    let site = start_short();
    let mut other = site.connect(0);
    let mut random = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..20 {
        let mut bytes = vec![0; random.random_range(24..4000)];
        random.fill_bytes(&mut bytes);
        let mut raw = Raw::open(site.peer_address(0));
        // Fails if the host closes the connection after the first bytes.
        let _ = raw.try_send(&bytes);
        raw.read_to_end();
    }
    let address = site.peer_address(0);
    let wrong_version = (VERSION + 1).to_be_bytes();
    let garbage = [VERSION.to_be_bytes().as_slice(), &[0xff; 40]].concat();
    let messages = [
        Vec::new(),
        vec![0],
        [wrong_version.as_slice(), &[0; 8]].concat(),
        garbage,
        vec![0; MESSAGE_LIMIT + 1],
        vec![0; 5 << 20],
    ];
    burdockslip_runtime::block_on(async move {
        for message in messages {
            let client = burdockslip_http2::Client::connect(address);
            let message = bytes::Bytes::from(message);
            for name in ["cancel", "stamp"] {
                let path = format!("/burdockslip/{name}");
                let reply = client.call(&path, message.clone()).await;
                // The byte after the version tells an error (1) from a reply.
                let is_refused = reply.is_ok_and(|reply| reply.get(2) == Some(&1));
                let is_too_large = message.len() > 4 << 20;
                assert!(
                    is_refused != is_too_large,
                    "{name}, {} bytes",
                    message.len()
                );
            }
            for name in ["execute", "unknown"] {
                let path = format!("/burdockslip/{name}");
                let reply = client.call(&path, message.clone()).await;
                assert!(reply.is_err(), "{name}, {} bytes", message.len());
            }
        }
    });
    assert_served(&site, &mut other);
    // Requests between hosts still work.
    let mut client = site.connect(1);
    client
        .batch_execute("INSERT INTO records (key, value) VALUES ('p', '1')")
        .expect("write runs");
}
