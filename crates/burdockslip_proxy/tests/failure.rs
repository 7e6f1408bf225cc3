//! Fault injection into three running hosts and a group of three databases, checked
//! from the view of clients.

mod support;

use std::rc::Rc;

use burdockslip_keys::{KeyRing, KeyState};
use support::raw::{Raw, tagged};
use support::{sqlstate, start, value};

/// The maximum number of attempts at a write during a failover.
const TRIES: usize = 20;

/// Guards against losing acknowledged writes when the primary is killed, and
/// against a failover after which writes keep failing.
#[test]
fn killed_primary_loses_no_acknowledged_write() {
    let site = start();
    let mut client = site.connect(0);
    for n in 0..10 {
        client
            .batch_execute(&format!(
                "INSERT INTO records (key, value) VALUES ('a{n}', '1')"
            ))
            .expect("write runs");
    }
    let old = site.with(|site| {
        let old = site.group.primary();
        site.group.kill(old);
        old
    });
    let mut client = site.connect(1);
    let is_written = (0..TRIES).any(|n| {
        let sql = format!("INSERT INTO records (key, value) VALUES ('b{n}', '1')");
        client.batch_execute(&sql).is_ok()
    });
    assert!(is_written, "no write succeeded after the failover");
    let new = site.with(|site| site.group.primary());
    assert_ne!(old, new);
    for n in 0..10 {
        let key = format!("a{n}");
        let kept = site.with(move |site| site.group.record(new, "records", &key));
        assert_eq!(kept.as_deref(), Some("1"), "write {n} was lost");
    }
}

/// Guards against a write that a primary acknowledges while it is partitioned from
/// its replicas: the write would be lost in the failover.
#[test]
fn isolated_primary_acknowledges_nothing() {
    let site = start();
    let mut client = site.connect(0);
    client
        .batch_execute("INSERT INTO records (key, value) VALUES ('a', '1')")
        .expect("write runs");
    let old = site.with(|site| {
        let old = site.group.primary();
        site.group.isolate(old, true);
        old
    });
    let result = client.batch_execute("UPDATE records SET value = '2' WHERE key = 'a'");
    let new = site.with(|site| site.group.primary());
    match result {
        Ok(()) => {
            let held = site.with(move |site| {
                (0..3)
                    .filter(|&index| index != old)
                    .any(|index| site.group.record(index, "records", "a").as_deref() == Some("2"))
            });
            assert!(
                held || new != old,
                "acknowledged by the isolated primary alone"
            );
        }
        Err(error) => assert_eq!(sqlstate(&error), "40003"),
    }
}

/// Guards against sending reads to the primary although their class allows
/// stale data that replicas can serve.
#[test]
fn replica_serves_reads_that_allow_age() {
    let site = start();
    let mut client = site.connect(0);
    client
        .batch_execute("INSERT INTO records (key, value) VALUES ('a', '1')")
        .expect("write runs");
    client
        .batch_execute("SET burdockslip.class = 'browse'")
        .expect("class is set");
    for _ in 0..50 {
        let read = value(&mut client, "SELECT value FROM records WHERE key = 'a'");
        assert_eq!(read.as_deref(), Some("1"), "own write was not read");
    }
    let counts = site.with(|site| site.group.statement_counts("SELECT value"));
    let replicas: usize = counts[1..].iter().sum();
    assert!(replicas >= 40, "reads by member: {counts:?}");
}

/// Guards read-your-writes: a replica whose log is behind the session's floor must
/// not serve its reads.
#[test]
fn lagging_replica_is_not_read_below_the_floor() {
    let site = start();
    site.with(|site| {
        site.group.set_lag(1, std::time::Duration::from_hours(1));
    });
    let mut client = site.connect(1);
    client
        .batch_execute("SET burdockslip.class = 'browse'")
        .expect("class is set");
    for n in 0..20 {
        let sql =
            format!("/*class='order'*/ INSERT INTO records (key, value) VALUES ('k{n}', '1')");
        client.batch_execute(&sql).expect("write runs");
        let sql = format!("SELECT value FROM records WHERE key = 'k{n}'");
        assert_eq!(value(&mut client, &sql).as_deref(), Some("1"));
    }
}

/// Guards against a connected, idle session that survives the revocation of its key.
#[test]
fn revoked_key_ends_connected_sessions() {
    let site = start();
    let mut client = site.connect(0);
    assert_eq!(value(&mut client, "SELECT 1").as_deref(), Some("1"));
    site.with(|site| {
        let mut ring = KeyRing::default();
        for (path, mut record) in site.records.clone() {
            if path.contains("airline") {
                record.state = KeyState::Revoked;
            }
            ring.put(&path, &record.render()).expect("record is valid");
        }
        site.config.keys = Rc::new(ring);
        for host in site.hosts.iter().flatten() {
            host.set_active_config(site.config.clone());
        }
    });
    client
        .simple_query("SELECT 1")
        .expect_err("session has ended");
    let Err(error) = site.config(1).connect(postgres::NoTls) else {
        panic!("revoked key was accepted");
    };
    assert_eq!(sqlstate(&error), "28000");
}

/// Guards against a drain that cuts off a running request, or that leaves idle
/// sessions open.
#[test]
fn drain_cuts_no_request_in_flight() {
    let site = start();
    let mut client = site.connect(0);
    let mut idle = site.connect(0);
    let slow = std::thread::spawn(move || {
        let result = value(&mut client, "SELECT pg_sleep(0.3)");
        (result, client)
    });
    // Waits until the database has received the statement.
    while !site.with(|site| {
        let texts = site.group.received_texts();
        texts.iter().any(|text| text.contains("pg_sleep"))
    }) {}
    site.drain(0);
    let (result, _) = slow.join().expect("client thread");
    assert_eq!(result.as_deref(), Some(""));
    let error = idle
        .simple_query("SELECT 1")
        .expect_err("session has ended");
    assert!(error.is_closed() || sqlstate(&error) == "57P01");
}

/// Guards against a transaction that stays open after the host of its client has failed.
#[test]
fn transaction_of_a_lost_host_is_rolled_back() {
    let site = start();
    let mut client = site.connect(1);
    client.batch_execute("BEGIN").expect("begin");
    client
        .batch_execute("INSERT INTO records (key, value) VALUES ('t', '1')")
        .expect("insert");
    site.with(|site| site.hosts[1] = None);
    drop(client);
    let mut other = site.connect(0);
    let read = value(&mut other, "SELECT value FROM records WHERE key = 't'");
    assert_eq!(read, None);
}

/// Guards against a cancel request that cancels another client's statement.
#[test]
fn cancel_needs_the_secret_and_works_at_any_host() {
    let site = start();
    let mut client = site.connect(0);
    let token = client.cancel_token();
    let other = site.connect(1).cancel_token();
    let running = std::thread::spawn(move || client.simple_query("SELECT pg_sleep(2)").map(|_| ()));
    while !site.with(|site| {
        let texts = site.group.received_texts();
        texts.iter().any(|text| text.contains("pg_sleep"))
    }) {}
    other.cancel_query(postgres::NoTls).expect("cancel is sent");
    assert!(
        !running.is_finished(),
        "the key of another session cancelled the statement"
    );
    token.cancel_query(postgres::NoTls).expect("cancel is sent");
    let error = running
        .join()
        .expect("client thread")
        .expect_err("statement was cancelled");
    assert_eq!(sqlstate(&error), "57014");
}

/// Guards against abandoned statements that keep occupying a database's slots.
#[test]
fn abandoned_statement_is_cancelled_upstream() {
    let site = start();
    let mut client = site.connect(0);
    let token = client.cancel_token();
    let running = std::thread::spawn(move || client.simple_query("SELECT pg_sleep(3600)").is_err());
    while !site.with(|site| {
        let texts = site.group.received_texts();
        texts.iter().any(|text| text.contains("pg_sleep"))
    }) {}
    assert!(site.with(|site| site.group.busy_slots().iter().sum::<usize>()) > 0);
    token.cancel_query(postgres::NoTls).expect("cancel is sent");
    assert!(running.join().expect("client thread"));
    // Loops until the database has stopped the statement.
    while site.with(|site| site.group.busy_slots().iter().sum::<usize>()) > 0 {}
}

/// Guards against an error message after a partial answer. A part may end inside
/// a row, and the client would take the message for the rest of that row.
#[test]
fn broken_answer_ends_the_session() {
    let site = start();
    let (mut client, _) = Raw::sign_in(&site, 0);
    client.send(&tagged(
        b'Q',
        b"/*class='browse'*/ SELECT fill(20000, 1000)\0",
    ));
    while !site.with(|site| {
        let texts = site.group.received_texts();
        texts.iter().any(|text| text.contains("fill"))
    }) {}
    // After the first row, a part of the answer has been forwarded. The client
    // reads no further, and the rest does not fit into the socket buffers.
    while client.frame().tag() != b'D' {}
    site.with(|site| {
        site.hosts[1] = None;
        site.hosts[2] = None;
    });
    let rest = client.read_to_end();
    let has_message = rest
        .windows(b"outcome unknown".len())
        .any(|bytes| bytes == b"outcome unknown");
    assert!(rest.len() < 20_000_000, "the answer did not break off");
    assert!(!has_message, "an error message follows a partial row");
}
