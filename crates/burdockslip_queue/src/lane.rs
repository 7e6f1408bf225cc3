//! The waiting requests of one organisation and its credit of execution time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::Instant;

use crate::Order;

pub(crate) type LaneId = usize;

/// The sort key of an entry in a lane, unique through its sequence number.
pub(crate) type Key = (Reverse<u8>, Instant, u64);

/// Returns the key that sorts an entry by `order`.
pub(crate) fn sort_key(order: Order, priority: u8, deadline: Instant, sequence: u64) -> Key {
    match order {
        Order::Arrival => (Reverse(0), Instant::START, sequence),
        Order::Deadline => (Reverse(0), deadline, sequence),
        Order::Priority => (Reverse(priority), deadline, sequence),
    }
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    pub(crate) owner: LaneId,
    pub(crate) cost: Duration,
    pub(crate) deadline: Instant,
    pub(crate) expiry: Instant,
    pub(crate) arrival: Instant,
    pub(crate) item: T,
}

/// The queue of one organisation.
#[derive(Debug)]
pub(crate) struct Lane<T> {
    pub(crate) entries: BTreeMap<Key, Entry<T>>,
    pub(crate) is_scheduled: bool,
    weight: u32,
    /// The execution time in microseconds that the lane may use now; negative if
    /// the lane is in debt.
    credit: i64,
    /// The last round whose share was added to the credit.
    granted_round: u64,
}

impl<T> Lane<T> {
    pub(crate) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            is_scheduled: false,
            weight: 1,
            credit: 0,
            granted_round: 0,
        }
    }

    pub(crate) fn set_weight(&mut self, weight: u32) {
        self.weight = weight.max(1);
    }

    pub(crate) fn has_credit(&self) -> bool {
        self.credit > 0
    }

    /// Deducts `cost` microseconds from the credit; a negative cost is a refund.
    ///
    /// Credit in excess of one share is converted back to rounds that are not yet
    /// granted, which [`Lane::next_round`] limits to the idle credit.
    pub(crate) fn charge(&mut self, cost: i64, quantum: i64) {
        let share = self.share(quantum);
        self.credit = self.credit.saturating_sub(cost);
        if self.credit > share {
            let rounds = (self.credit - 1) / share;
            self.credit -= rounds * share;
            self.granted_round = self.granted_round.saturating_sub(rounds.unsigned_abs());
        }
        if self.entries.is_empty() {
            self.discard_credit();
        }
    }

    /// Discards the unused part of the last share; debt remains.
    pub(crate) fn discard_credit(&mut self) {
        self.credit = self.credit.min(0);
    }

    /// Adds as many shares as make the credit positive, and returns the round that
    /// grants the last of them.
    ///
    /// An idle lane keeps the shares of missed rounds for later use, up to
    /// `idle_credit` microseconds of execution time.
    pub(crate) fn next_round(&mut self, current: u64, quantum: i64, idle_credit: i64) -> u64 {
        let share = self.share(quantum);
        let idle_rounds = (idle_credit / share).unsigned_abs();
        self.granted_round = self.granted_round.max(current.saturating_sub(idle_rounds));
        if self.credit <= 0 {
            let rounds = -self.credit / share + 1;
            self.credit += rounds * share;
            self.granted_round = self.granted_round.saturating_add(rounds.unsigned_abs());
        }
        self.granted_round
    }

    fn share(&self, quantum: i64) -> i64 {
        quantum.saturating_mul(i64::from(self.weight)).max(1)
    }
}
