//! Tells sessions how far a host has stopped.

use std::cell::Cell;

use burdockslip_runtime::{Changed, Signal};
use burdockslip_types::ErrorKind;

/// Says how far a host has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    Open,
    ClosingIdle,
    ClosingAll,
    Ending,
}

/// Tells sessions to end.
#[derive(Debug)]
pub struct StopSignal {
    level: Cell<Level>,
    /// What clients are told.
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
    /// Lets sessions go on.
    pub fn reopen(&self) {
        self.set(Level::Open);
    }

    /// Ends sessions as soon as they have no transaction, and opens none.
    pub fn close_idle(&self, reason: ErrorKind) {
        self.reason.set(reason);
        self.set(Level::ClosingIdle);
    }

    /// Rolls transactions back that wait for their client, and ends all sessions.
    pub fn close_all(&self) {
        self.set(Level::ClosingAll);
    }

    /// Gives up the statements that still run, because the process is about to
    /// end and their clients would be left without an answer.
    pub fn abandon_statements(&self) {
        self.set(Level::Ending);
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

    /// Waits for a change after the one numbered `seen`.
    pub(crate) fn changed(&self, seen: u64) -> Changed<'_> {
        self.changed.changed(seen)
    }

    /// Waits until the process is about to end.
    pub(crate) async fn ending(&self) {
        loop {
            let seen = self.epoch();
            if self.level() == Level::Ending {
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
