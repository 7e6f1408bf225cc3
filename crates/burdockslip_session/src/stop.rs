//! The signal by which a host makes its sessions end.

use std::cell::Cell;

use burdockslip_runtime::{Changed, Signal};
use burdockslip_types::ErrorKind;

/// The level of the stop signal; later levels include the effects of earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    /// Sessions run normally.
    Open,
    /// Sessions end once they have no open transaction; new ones are refused.
    ClosingIdle,
    /// Transactions that wait for their client are rolled back, and sessions end.
    ClosingAll,
    /// Running statements are abandoned, because the process is about to exit.
    Exiting,
}

/// A signal that makes the sessions of a host end.
#[derive(Debug)]
pub struct StopSignal {
    level: Cell<Level>,
    /// The error that clients get.
    reason: Cell<ErrorKind>,
    changed: Signal,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self {
            level: Cell::new(Level::Open),
            reason: Cell::new(ErrorKind::Draining),
            changed: Signal::default(),
        }
    }
}

impl StopSignal {
    /// Accepts sessions again.
    pub fn reopen(&self) {
        self.set(Level::Open);
    }

    /// Ends sessions as soon as they have no open transaction, and refuses new ones
    /// with the error `reason`.
    pub fn close_idle(&self, reason: ErrorKind) {
        self.reason.set(reason);
        self.set(Level::ClosingIdle);
    }

    /// Rolls back transactions that wait for their client, and ends all sessions.
    pub fn close_all(&self) {
        self.set(Level::ClosingAll);
    }

    /// Abandons the statements that are still running. The process is about to exit,
    /// and their clients would not get a response otherwise.
    pub fn abandon_statements(&self) {
        self.set(Level::Exiting);
    }

    /// Makes sessions that wait for their clients check how long they may do so.
    pub fn recheck(&self) {
        self.changed.notify();
    }

    pub(crate) const fn level(&self) -> Level {
        self.level.get()
    }

    pub(crate) const fn reason(&self) -> ErrorKind {
        self.reason.get()
    }

    /// Returns the number of changes so far, for [`StopSignal::changed`].
    pub(crate) fn epoch(&self) -> u64 {
        self.changed.epoch()
    }

    /// Waits for a change after `seen`, which was returned by [`StopSignal::epoch`].
    pub(crate) fn changed(&self, seen: u64) -> Changed<'_> {
        self.changed.changed(seen)
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn exiting(&self) {
        loop {
            let seen = self.epoch();
            if self.level() == Level::Exiting {
                return;
            }
            self.changed(seen).await;
        }
    }

    fn set(&self, level: Level) {
        if self.level.replace(level) != level {
            self.changed.notify();
        }
    }
}
