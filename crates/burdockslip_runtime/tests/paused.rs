//! Tests of the paused executor: order of timers, time and repeatability.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, paused, random_u64, sleep, spawn, timeout};

/// Guards against a clock that waits for real time or skips timers.
#[test]
fn clock_jumps_to_the_next_timer() {
    let order = paused::run(1, async {
        let order = Rc::new(RefCell::new(Vec::new()));
        let tasks: Vec<_> = [30, 10, 20]
            .into_iter()
            .map(|secs| {
                let order = Rc::clone(&order);
                spawn(async move {
                    sleep(Duration::from_secs(secs)).await;
                    order.borrow_mut().push(now().micros() / 1_000_000);
                })
            })
            .collect();
        for task in tasks {
            task.await;
        }
        order.take()
    });
    assert_eq!(order, [10, 20, 30]);
}

/// Guards against runs that differ although the seed is the same.
#[test]
fn same_seed_gives_same_numbers() {
    let draw = |seed| paused::run(seed, async { [random_u64(), random_u64()] });
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

/// Guards against tasks that outlive a dropped handle, which would keep a
/// stopped host working in a test.
#[test]
fn dropped_task_stops() {
    let count = paused::run(1, async {
        let count = Rc::new(RefCell::new(0));
        let inner = Rc::clone(&count);
        let task = spawn(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                *inner.borrow_mut() += 1;
            }
        });
        sleep(Duration::from_millis(2500)).await;
        drop(task);
        sleep(Duration::from_secs(10)).await;
        count.take()
    });
    assert_eq!(count, 2);
}

/// Guards against a timeout that waits for its future forever.
#[test]
fn timeout_drops_a_pending_future() {
    let result = paused::run(1, async {
        timeout(Duration::from_secs(1), std::future::pending::<()>()).await
    });
    assert!(result.is_err());
}
