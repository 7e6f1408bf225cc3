//! Notification of tasks about changes of shared state.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Notifies waiting tasks that state shared on this thread has changed.
#[derive(Debug, Default)]
pub struct Signal {
    epoch: Cell<u64>,
    next_slot: Cell<u64>,
    wakers: RefCell<HashMap<u64, Waker>>,
}

impl Signal {
    /// Wakes all waiting tasks.
    pub fn notify(&self) {
        self.epoch.set(self.epoch.get() + 1);
        for (_, waker) in self.wakers.take() {
            waker.wake();
        }
    }

    /// Returns the number of notifications so far, for [`Signal::changed`].
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Waits for a notification after the one numbered `seen`.
    ///
    /// Callers read [`epoch`](Self::epoch) before they read the state, so that
    /// a change in between completes the wait instead of being missed.
    pub fn changed(&self, seen: u64) -> Changed<'_> {
        Changed {
            signal: self,
            seen,
            slot: None,
        }
    }

    /// Returns the number of waiting tasks.
    pub fn waiter_count(&self) -> usize {
        self.wakers.borrow().len()
    }
}

/// Completes with the next notification of a [`Signal`].
///
/// It has its own entry among the wakers and removes it when dropped, so that
/// the cost of a wait does not depend on the number of other waits.
#[derive(Debug)]
pub struct Changed<'a> {
    signal: &'a Signal,
    seen: u64,
    slot: Option<u64>,
}

impl Future for Changed<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.signal.epoch.get() > self.seen {
            return Poll::Ready(());
        }
        let slot = self.slot.unwrap_or_else(|| {
            let next = self.signal.next_slot.get();
            self.signal.next_slot.set(next + 1);
            next
        });
        self.slot = Some(slot);
        let mut wakers = self.signal.wakers.borrow_mut();
        wakers.insert(slot, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Changed<'_> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot {
            self.signal.wakers.borrow_mut().remove(&slot);
        }
    }
}
