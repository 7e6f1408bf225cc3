//! A notification between tasks of the same thread.

use std::cell::{Cell, RefCell};

use futures::channel::oneshot;

/// The smallest number of listeners at which dropped ones are removed.
const CLEANUP_LIMIT: usize = 16;

/// Wakes every listener once at each notification.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    listeners: RefCell<Vec<oneshot::Sender<()>>>,
    /// The number of listeners at which dropped ones are removed. It is set to
    /// twice the number that remains, so that with thousands of waiting requests
    /// not every call of `listen` scans all of them.
    limit: Cell<usize>,
}

impl Signal {
    /// Returns a receiver that completes at the next notification.
    ///
    /// The listener is registered by the call and not when the receiver is first
    /// polled, so that no notification in between is lost.
    pub(crate) fn listen(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut listeners = self.listeners.borrow_mut();
        if listeners.len() >= self.limit.get() {
            listeners.retain(|listener| !listener.is_canceled());
            self.limit.set(CLEANUP_LIMIT.max(2 * listeners.len()));
        }
        listeners.push(sender);
        receiver
    }

    /// Wakes all listeners.
    pub(crate) fn notify(&self) {
        for listener in self.listeners.take() {
            // Sending fails if the listener's task was stopped or timed out.
            let _ = listener.send(());
        }
    }
}
