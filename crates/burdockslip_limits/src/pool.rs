//! Holds the tokens of one organisation on one host and the requests that wait for them.

use std::collections::VecDeque;
use std::time::Duration;

use burdockslip_runtime::Instant;
use futures::channel::oneshot;

use crate::demand::Demand;
use crate::{Permit, Tokens};

/// The time over which demand is averaged for fetching in advance.
const WINDOW: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Batch {
    count: Tokens,
    expiry: Instant,
}

#[derive(Debug)]
struct Waiter {
    cost: Tokens,
    sender: oneshot::Sender<Permit>,
}

/// Holds batches in the order of their expiry, waiters in the order of their arrival.
#[derive(Debug)]
pub(crate) struct Pool {
    batches: VecDeque<Batch>,
    waiters: VecDeque<Waiter>,
    demand: Demand,
    /// The tokens of requests that arrived since the last report to an authority.
    pub(crate) arrived: Tokens,
    /// Whether a task asks the authority for this organisation.
    pub(crate) is_asking: bool,
    /// Whether the last grant was smaller than wanted; fetching in advance would starve other hosts.
    pub(crate) is_short: bool,
    /// When the authority expects to have the missing tokens.
    pub(crate) retry_at: Instant,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            batches: VecDeque::new(),
            waiters: VecDeque::new(),
            demand: Demand::new(WINDOW),
            arrived: Tokens::default(),
            is_asking: false,
            is_short: false,
            retry_at: Instant::START,
        }
    }
}

impl Pool {
    /// Counts an arriving request, whether or not it is admitted.
    pub(crate) fn note_arrival(&mut self, cost: Tokens, now: Instant) {
        self.demand.note(cost, now);
        self.arrived += cost;
    }

    /// Adds tokens that may be used before `expiry`.
    pub(crate) fn add(&mut self, count: Tokens, expiry: Instant) {
        let place = self.batches.partition_point(|batch| batch.expiry <= expiry);
        self.batches.insert(place, Batch { count, expiry });
    }

    /// Takes `cost` tokens that have not expired, if no earlier request waits.
    pub(crate) fn take_at_once(&mut self, cost: Tokens, now: Instant) -> Option<Permit> {
        if self.waiters.is_empty() {
            self.take(cost, now)
        } else {
            None
        }
    }

    /// Returns the tokens that have not expired.
    pub(crate) fn level(&mut self, now: Instant) -> Tokens {
        self.batches
            .retain(|batch| batch.expiry > now && batch.count > Tokens(0));
        self.batches.iter().map(|batch| batch.count).sum()
    }

    /// Appends a waiter and returns the channel on which it gets its permit.
    pub(crate) fn wait(&mut self, cost: Tokens) -> oneshot::Receiver<Permit> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.push_back(Waiter { cost, sender });
        receiver
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&mut self) -> usize {
        self.waiters.retain(|waiter| !waiter.sender.is_canceled());
        self.waiters.len()
    }

    /// Gives tokens to the waiters in order.
    pub(crate) fn serve(&mut self, now: Instant) {
        while self.waiting() > 0 {
            let cost = self.waiters[0].cost;
            let Some(permit) = self.take(cost, now) else {
                return;
            };
            if let Some(waiter) = self.waiters.pop_front()
                && let Err(permit) = waiter.sender.send(permit)
            {
                self.add(permit.cost, permit.expiry);
            }
        }
    }

    /// Returns the tokens to ask for, with `prefetch` worth of demand in advance.
    pub(crate) fn wanted(&mut self, prefetch: Duration, now: Instant) -> Tokens {
        self.waiting();
        let waiting: Tokens = self.waiters.iter().map(|waiter| waiter.cost).sum();
        let level = self.level(now);
        let target = self.demand.rate(now).tokens_in(prefetch).floor();
        let is_low = level.0 <= target.0 / 2 && target > Tokens(0);
        if !is_low || (self.is_short && now < self.retry_at) {
            return waiting - level;
        }
        waiting + target - level
    }

    fn take(&mut self, cost: Tokens, now: Instant) -> Option<Permit> {
        if self.level(now) < cost {
            return None;
        }
        let expiry = self.batches.front().map_or(now, |batch| batch.expiry);
        let mut missing = cost;
        while missing > Tokens(0)
            && let Some(batch) = self.batches.front_mut()
        {
            let part = missing.min(batch.count);
            batch.count = batch.count - part;
            missing = missing - part;
            if batch.count == Tokens(0) {
                self.batches.pop_front();
            }
        }
        Some(Permit { cost, expiry })
    }
}
