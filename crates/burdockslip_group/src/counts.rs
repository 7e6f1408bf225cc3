//! Counters of a watcher's messages, commits and promotions.

use std::cell::Cell;

/// The counters of a watcher since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatcherCounts {
    /// Regular and requested polls sent to members.
    pub polls: u64,
    /// Queries sent to members to confirm log positions.
    pub queries: u64,
    /// Log positions of commits and reads that were confirmed.
    pub confirmed: u64,
    /// Log positions that were not confirmed, because the deadline passed or a
    /// majority had promised a later term.
    pub unconfirmed: u64,
    /// Requests sent to other watchers.
    pub messages: u64,
    /// Promotions that this watcher started.
    pub attempts: u64,
    /// Promotions that this watcher completed.
    pub promotions: u64,
}

/// The counters as the watcher's tasks share them.
#[derive(Debug, Default)]
pub(crate) struct Counters(Cell<WatcherCounts>);

impl Counters {
    pub(crate) fn update(&self, change: impl FnOnce(&mut WatcherCounts)) {
        let mut counts = self.0.get();
        change(&mut counts);
        self.0.set(counts);
    }

    pub(crate) fn get(&self) -> WatcherCounts {
        self.0.get()
    }
}
