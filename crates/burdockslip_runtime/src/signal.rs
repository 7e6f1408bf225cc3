//! Wakes tasks when shared state has changed.

use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};

/// Tells waiting tasks that state on this thread has changed.
#[derive(Debug, Default)]
pub struct Signal {
    epoch: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Wakes all tasks that wait.
    pub fn notify(&self) {
        self.epoch.set(self.epoch.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Returns the number of notifications so far, for [`Signal::changed`].
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Waits for a notification after the one numbered `seen`.
    ///
    /// Taking the number before looking at the state makes sure that no change
    /// in between is missed.
    pub async fn changed(&self, seen: u64) {
        std::future::poll_fn(|cx| {
            if self.epoch.get() > seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
