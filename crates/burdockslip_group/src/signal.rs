//! Wakes tasks of the same thread when something has changed.

use std::cell::{Cell, RefCell};

use futures::channel::oneshot;

/// The least number of listeners at which abandoned ones are removed.
const CLEANUP_LIMIT: usize = 16;

/// Wakes every listener once at each notification.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    listeners: RefCell<Vec<oneshot::Sender<()>>>,
    /// The number of listeners at which abandoned ones are removed. It doubles
    /// with the number that remains, so that thousands of waiting requests do
    /// not each search through all of them.
    limit: Cell<usize>,
}

impl Signal {
    /// Registers a listener at the time of the call, not at its first poll, so
    /// that no notification between the two is lost.
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
            // The listener is gone when its task was stopped or timed out.
            let _ = listener.send(());
        }
    }
}
