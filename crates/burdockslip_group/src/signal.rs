//! Wakes tasks of the same thread when something has changed.

use std::cell::RefCell;

use futures::channel::oneshot;

/// Wakes every listener once at each notification.
#[derive(Debug, Default)]
pub(crate) struct Signal(RefCell<Vec<oneshot::Sender<()>>>);

impl Signal {
    /// Registers a listener at the time of the call, not at its first poll, so
    /// that no notification between the two is lost.
    pub(crate) fn listen(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut listeners = self.0.borrow_mut();
        listeners.retain(|listener| !listener.is_canceled());
        listeners.push(sender);
        receiver
    }

    /// Wakes all listeners.
    pub(crate) fn notify(&self) {
        for listener in self.0.take() {
            // The listener is gone when its task was stopped or timed out.
            let _ = listener.send(());
        }
    }
}
