//! Holds the waiting requests of one organisation and its account of execution time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::Instant;

use crate::Order;

pub(crate) type LaneId = usize;

/// Sorts entries of a lane; the sequence number makes each key unique.
pub(crate) type Key = (Reverse<u8>, Instant, u64);

/// Builds the key that sorts an entry by `order`.
pub(crate) fn sort_key(order: Order, priority: u8, deadline: Instant, sequence: u64) -> Key {
    match order {
        Order::Arrival => (Reverse(0), Instant::START, sequence),
        Order::Deadline => (Reverse(0), deadline, sequence),
        Order::Priority => (Reverse(priority), deadline, sequence),
    }
}

/// Holds one waiting request.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    pub(crate) owner: LaneId,
    pub(crate) cost: Duration,
    pub(crate) deadline: Instant,
    pub(crate) expiry: Instant,
    pub(crate) arrival: Instant,
    pub(crate) item: T,
}

/// Holds the entries of one organisation.
#[derive(Debug)]
pub(crate) struct Lane<T> {
    pub(crate) entries: BTreeMap<Key, Entry<T>>,
    pub(crate) is_scheduled: bool,
    weight: u32,
    /// The execution time in microseconds that the lane may use; negative in debt.
    credit: i64,
    /// The last round whose share was added to the credit.
    granted: u64,
}

impl<T> Lane<T> {
    pub(crate) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            is_scheduled: false,
            weight: 1,
            credit: 0,
            granted: 0,
        }
    }

    pub(crate) fn set_weight(&mut self, weight: u32) {
        self.weight = weight.max(1);
    }

    pub(crate) fn has_credit(&self) -> bool {
        self.credit > 0
    }

    /// Takes `cost` microseconds from the credit; a negative cost is a refund.
    ///
    /// Credit beyond one share goes back as rounds, where the savings bound it.
    pub(crate) fn charge(&mut self, cost: i64, quantum: i64) {
        let share = self.share(quantum);
        self.credit = self.credit.saturating_sub(cost);
        if self.credit > share {
            let rounds = (self.credit - 1) / share;
            self.credit -= rounds * share;
            self.granted = self.granted.saturating_sub(rounds.unsigned_abs());
        }
        if self.entries.is_empty() {
            self.forfeit();
        }
    }

    /// Drops the rest of the last share of an idle lane.
    pub(crate) fn forfeit(&mut self) {
        self.credit = self.credit.min(0);
    }

    /// Adds the shares that make the credit positive and returns the round that grants the last of them.
    ///
    /// Rounds that passed while the lane was idle count as granted later, up
    /// to `savings` microseconds of execution time.
    pub(crate) fn next_round(&mut self, current: u64, quantum: i64, savings: i64) -> u64 {
        let share = self.share(quantum);
        let saved = (savings / share).unsigned_abs();
        self.granted = self.granted.max(current.saturating_sub(saved));
        if self.credit <= 0 {
            let rounds = -self.credit / share + 1;
            self.credit += rounds * share;
            self.granted = self.granted.saturating_add(rounds.unsigned_abs());
        }
        self.granted
    }

    fn share(&self, quantum: i64) -> i64 {
        quantum.saturating_mul(i64::from(self.weight)).max(1)
    }
}
