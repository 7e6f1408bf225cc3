//! Tests of signals: no lost notifications, no wakers left by dropped waits.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Signal, paused, sleep, spawn, timeout};

/// Guards against a notification that is lost because it arrives after the
/// state was read and before the wait starts.
#[test]
fn notification_before_the_wait_is_seen() {
    let is_seen = paused::run(1, async {
        let signal = Signal::default();
        let epoch = signal.epoch();
        signal.notify();
        timeout(Duration::from_secs(1), signal.changed(epoch))
            .await
            .is_ok()
    });
    assert!(is_seen);
}

/// Guards against wakers that stay behind when a wait is dropped, which made
/// each wait slower than the one before.
#[test]
fn dropped_waits_remove_their_wakers() {
    let (left, woken) = paused::run(1, async {
        let signal = Rc::new(Signal::default());
        for _ in 0..100 {
            let wait = signal.changed(signal.epoch());
            assert!(timeout(Duration::from_millis(1), wait).await.is_err());
        }
        let left = signal.waiter_count();
        let inner = Rc::clone(&signal);
        let task = spawn(async move { inner.changed(inner.epoch()).await });
        sleep(Duration::from_millis(1)).await;
        signal.notify();
        (left, task.await.is_some())
    });
    assert_eq!((left, woken), (0, true));
}
