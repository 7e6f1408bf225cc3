//! Tests the store client and server over loopback sockets.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_runtime::{block_on, timeout};
use burdockslip_store::{Compare, Event, Faults, Operation, Store, Txn};
use burdockslip_testkit::StoreServer;
use burdockslip_types::{ErrorKind, Revision};
use futures::StreamExt;

/// Fails a test that hangs; not an expectation of speed.
const LIMIT: Duration = Duration::from_secs(30);

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn bind() -> StoreServer {
    StoreServer::bind(any_port()).expect("loopback has a free port")
}

fn run(test: impl Future<Output = ()>) {
    block_on(async { timeout(LIMIT, test).await.expect("the test must not hang") });
}

fn put(key: &str, expected: u64, value: &[u8]) -> Txn {
    Txn {
        compares: vec![Compare::Revision(key.to_owned(), Revision(expected))],
        operations: vec![Operation::Put(key.to_owned(), value.to_vec(), None)],
    }
}

/// Guards against client and server encoding a message differently, for each
/// kind of call.
#[test]
fn calls_are_understood_by_the_server() {
    run(async {
        let server = bind();
        let store = Store::connect(&[server.address()], CALL_TIMEOUT);
        let reply = store.txn(put("a/1", 0, b"1")).await.expect("answers");
        assert!(reply.is_applied);
        let refused = store.txn(put("a/1", 0, b"2")).await.expect("answers");
        assert!(!refused.is_applied);
        let lease = store.grant_lease(Duration::from_mins(1)).await;
        let lease = lease.expect("answers");
        let attached = Txn {
            compares: Vec::new(),
            operations: vec![Operation::Put("a/2".to_owned(), vec![7], Some(lease))],
        };
        store.txn(attached).await.expect("answers");
        let ttl = store.keep_lease(lease).await.expect("answers");
        assert_eq!(ttl, Duration::from_mins(1));
        assert_eq!(store.range("a/").await.expect("answers").entries.len(), 2);
        store.revoke_lease(lease).await.expect("answers");
        let page = store.range("a/").await.expect("answers");
        assert_eq!(page.revision, Revision(3));
        assert_eq!(page.entries.len(), 1);
        assert_eq!(page.entries[0].value, b"1");
    });
}

/// Guards against lost or repeated keys where a range is read in several pages,
/// and against losing values near the size limit.
#[test]
fn long_ranges_are_complete() {
    run(async {
        let server = bind();
        for number in 0..2500 {
            server.memory().put(&format!("k/{number:04}"), b"v");
        }
        server.memory().put("k/large", &vec![1; 1_000_000]);
        let store = Store::connect(&[server.address()], CALL_TIMEOUT);
        let page = store.range("k/").await.expect("answers");
        assert_eq!(page.entries.len(), 2501);
        assert!(page.entries.is_sorted_by(|a, b| a.key < b.key));
        assert_eq!(page.revision, Revision(2501));
    });
}

/// Guards against a watch that loses changes or reports no progress.
#[test]
fn watch_reports_changes_and_progress() {
    run(async {
        let server = bind();
        server.memory().put("k/1", b"1");
        let store = Store::connect(&[server.address()], CALL_TIMEOUT);
        let mut watch = store.watch("k/", Revision(0)).await.expect("opens");
        let mut seen = Vec::new();
        server.memory().delete("k/1");
        while !matches!(seen.last(), Some(Event::Progress(_))) {
            seen.push(watch.next().await.expect("is open").expect("is open"));
        }
        assert!(matches!(&seen[0], Event::Put(entry) if entry.key == "k/1"));
        assert_eq!(seen[1], Event::Delete("k/1".to_owned(), Revision(2)));
        assert_eq!(seen[2], Event::Progress(Revision(2)));
        server.memory().drop_watches();
        while let Some(Ok(_)) = watch.next().await {}
        assert!(watch.next().await.is_none());
    });
}

/// Guards against a client that keeps using an unreachable endpoint, and against
/// errors other than `StoreUnavailable` when none is reachable.
#[test]
fn calls_fail_over_to_the_next_endpoint() {
    run(async {
        let first = bind();
        let memory = first.memory().clone();
        let second = StoreServer::with_memory(any_port(), memory.clone()).expect("a port is free");
        let store = Store::connect(&[first.address(), second.address()], CALL_TIMEOUT);
        store.txn(put("k", 0, b"1")).await.expect("answers");
        drop(first);
        let page = store.range("k").await.expect("the second endpoint answers");
        assert_eq!(page.entries.len(), 1);
        let reply = store.txn(put("k", 1, b"2")).await.expect("answers");
        assert!(reply.is_applied);
        assert!(store.watch("k", Revision(0)).await.is_ok());
        memory.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        let error = store.range("k").await.expect_err("is down");
        assert_eq!(*error.current_context(), ErrorKind::StoreUnavailable);
    });
}

/// Guards against retrying a transaction that may have been applied: the retry
/// would conflict with the first attempt.
#[test]
fn transactions_are_not_retried() {
    run(async {
        let first = bind();
        let memory = first.memory().clone();
        let second = StoreServer::with_memory(any_port(), memory.clone()).expect("a port is free");
        let store = Store::connect(&[first.address(), second.address()], CALL_TIMEOUT);
        memory.set_faults(Faults {
            loses_answers: true,
            ..Faults::default()
        });
        assert!(store.txn(put("k", 0, b"1")).await.is_err());
        assert_eq!(memory.calls().txns, 1);
    });
}
