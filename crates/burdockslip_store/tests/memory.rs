//! Tests of the fake store, whose faults must match those of the platform's store.

use std::time::Duration;

use burdockslip_runtime::{paused, sleep, spawn};
use burdockslip_store::{Compare, Event, Faults, MemoryStore, Operation, Store, Txn};
use burdockslip_types::{ErrorKind, Revision};
use futures::StreamExt;

fn put(key: &str, after: u64, value: &[u8]) -> Txn {
    Txn {
        compares: vec![Compare::Revision(key.to_owned(), Revision(after))],
        operations: vec![Operation::Put(key.to_owned(), value.to_vec(), None)],
    }
}

async fn value(store: &Store, key: &str) -> Option<Vec<u8>> {
    let page = store.range(key).await.expect("the store answers");
    page.entries.into_iter().next().map(|entry| entry.value)
}

/// Guards against a compare-and-swap that succeeds for two writers.
#[test]
fn only_one_writer_wins() {
    paused::run(1, async {
        let memory = MemoryStore::new();
        let store = memory.client("a");
        let first = store.txn(put("k", 0, b"1")).await.expect("answers");
        let second = store.txn(put("k", 0, b"2")).await.expect("answers");
        assert!(first.is_applied && !second.is_applied);
        assert_eq!(value(&store, "k").await, Some(b"1".to_vec()));
        assert_eq!(first.revision, second.revision);
    });
}

/// Guards against a fake that rolls back a change whose answer is lost.
#[test]
fn lost_answer_keeps_the_change() {
    paused::run(1, async {
        let memory = MemoryStore::new();
        let store = memory.client("a");
        memory.set_faults(Faults {
            loses_answers: true,
            ..Faults::default()
        });
        let error = store.txn(put("k", 0, b"1")).await.expect_err("is lost");
        assert_eq!(*error.current_context(), ErrorKind::StoreUnavailable);
        memory.set_faults(Faults::default());
        assert_eq!(value(&store, "k").await, Some(b"1".to_vec()));
    });
}

/// Guards against leases that never expire, or whose expiry no watch reports.
#[test]
fn lease_expires_and_the_watch_reports_it() {
    paused::run(1, async {
        let memory = MemoryStore::new();
        let store = memory.client("a");
        let lease = store
            .grant_lease(Duration::from_secs(3))
            .await
            .expect("answers");
        let mut txn = put("k", 0, b"1");
        txn.operations = vec![Operation::Put("k".to_owned(), b"1".to_vec(), Some(lease))];
        store.txn(txn).await.expect("answers");
        sleep(Duration::from_secs(2)).await;
        let renewed = store.keep_lease(lease).await.expect("answers");
        assert_eq!(renewed, Duration::from_secs(3));
        let mut watch = store.watch("k", Revision(1)).await.expect("opens");
        let event = loop {
            match watch.next().await.expect("is open").expect("is open") {
                Event::Progress(_) => {}
                event => break event,
            }
        };
        assert_eq!(event, Event::Delete("k".to_owned(), Revision(2)));
        let gone = store.keep_lease(lease).await.expect("answers");
        assert_eq!(gone, Duration::ZERO);
    });
}

/// Guards against a watch that misses changes between its start revision and
/// its opening, and against one that stays open during an outage.
#[test]
fn watch_replays_changes_and_breaks_in_an_outage() {
    paused::run(1, async {
        let memory = MemoryStore::new();
        let store = memory.client("a");
        memory.put("k/1", b"1");
        memory.put("other", b"x");
        memory.put("k/2", b"2");
        let mut watch = store.watch("k/", Revision(1)).await.expect("opens");
        match watch.next().await {
            Some(Ok(Event::Put(entry))) => assert_eq!(entry.key, "k/2"),
            other => panic!("unexpected {other:?}"),
        }
        let pending = spawn(async move { watch.next().await });
        memory.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        let event = pending.await.expect("the task runs");
        assert!(matches!(event, Some(Err(_))));
        assert!(store.range("k/").await.is_err());
    });
}

/// Guards against a disconnect that affects other clients, and one during
/// which a watch still reports progress.
#[test]
fn disconnect_affects_one_client() {
    paused::run(1, async {
        let memory = MemoryStore::new();
        let (near, far) = (memory.client("near"), memory.client("far"));
        let mut watch = far.watch("k", Revision(0)).await.expect("opens");
        memory.disconnect("far");
        assert!(far.range("k").await.is_err());
        assert!(near.range("k").await.is_ok());
        memory.put("k", b"1");
        let pending = spawn(async move { watch.next().await });
        sleep(Duration::from_secs(5)).await;
        memory.reconnect("far");
        let event = pending.await.expect("the task runs");
        assert!(matches!(event, Some(Ok(Event::Put(_)))));
    });
}
