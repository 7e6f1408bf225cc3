//! Counts the messages of a watcher, so that their cost can be measured.

use std::cell::Cell;

/// Holds the number of messages sent and positions confirmed since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatcherCounts {
    /// Polls sent to members.
    pub polls: u64,
    /// Queries sent to members to confirm commits.
    pub queries: u64,
    /// Marks confirmed for commits and reads.
    pub confirmed: u64,
    /// Marks that were not confirmed in time.
    pub unconfirmed: u64,
    /// Messages sent to other watchers.
    pub messages: u64,
    /// Promotions started.
    pub attempts: u64,
    /// Promotions completed.
    pub promotions: u64,
}

/// Shares the counters of one watcher between its tasks.
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
