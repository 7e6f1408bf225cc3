//! The tokens of one organisation on one host, and the requests that wait for them.

use std::collections::VecDeque;
use std::time::Duration;

use burdockslip_runtime::Instant;
use futures::channel::oneshot;

use crate::demand::DemandEstimator;
use crate::{Permit, Tokens};

/// The window over which demand is estimated to fetch tokens in advance.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

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

/// Batches of tokens, ordered by expiry, and waiters, ordered by arrival.
#[derive(Debug)]
pub(crate) struct Pool {
    batches: VecDeque<Batch>,
    waiters: VecDeque<Waiter>,
    demand: DemandEstimator,
    /// The total cost of the requests that arrived since the last report to an authority.
    pub(crate) arrived: Tokens,
    /// Whether a task that fetches tokens for this organisation is running.
    pub(crate) is_fetching: bool,
    /// Whether the last grant was smaller than wanted. Fetching in advance then stops until
    /// `retry_at`, because it would take tokens that requests on other hosts wait for.
    pub(crate) is_short: bool,
    /// When the missing tokens are expected at the authority.
    pub(crate) retry_at: Instant,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            batches: VecDeque::new(),
            waiters: VecDeque::new(),
            demand: DemandEstimator::new(DEMAND_WINDOW),
            arrived: Tokens::default(),
            is_fetching: false,
            is_short: false,
            retry_at: Instant::START,
        }
    }
}

impl Pool {
    /// Records the arrival of a request for the demand, whether or not it is admitted.
    pub(crate) fn record_arrival(&mut self, cost: Tokens, now: Instant) {
        self.demand.record(cost, now);
        self.arrived += cost;
    }

    /// Adds tokens that may be used before `expiry`.
    pub(crate) fn add(&mut self, count: Tokens, expiry: Instant) {
        let index = self.batches.partition_point(|batch| batch.expiry <= expiry);
        self.batches.insert(index, Batch { count, expiry });
    }

    /// Takes `cost` tokens that have not expired, unless earlier requests are waiting.
    pub(crate) fn try_take(&mut self, cost: Tokens, now: Instant) -> Option<Permit> {
        if self.waiters.is_empty() {
            self.take(cost, now)
        } else {
            None
        }
    }

    /// Drops expired tokens and returns the number of the others.
    pub(crate) fn available(&mut self, now: Instant) -> Tokens {
        self.batches
            .retain(|batch| batch.expiry > now && batch.count > Tokens(0));
        self.batches.iter().map(|batch| batch.count).sum()
    }

    /// Adds a waiter and returns the channel on which it receives its permit.
    pub(crate) fn enqueue(&mut self, cost: Tokens) -> oneshot::Receiver<Permit> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.push_back(Waiter { cost, sender });
        receiver
    }

    /// Drops cancelled waiters and returns the number of the others.
    pub(crate) fn waiting_count(&mut self) -> usize {
        self.waiters.retain(|waiter| !waiter.sender.is_canceled());
        self.waiters.len()
    }

    /// Grants permits to the waiters in order of arrival while the tokens suffice.
    pub(crate) fn serve_waiters(&mut self, now: Instant) {
        while self.waiting_count() > 0 {
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

    /// Returns how many tokens to request: those that waiters lack, and in advance the demand of
    /// the time `prefetch`, if less than half of it is available.
    pub(crate) fn wanted(&mut self, prefetch: Duration, now: Instant) -> Tokens {
        self.waiting_count();
        let waiting: Tokens = self.waiters.iter().map(|waiter| waiter.cost).sum();
        let available = self.available(now);
        let target = self.demand.rate(now).tokens_in(prefetch).floor();
        let is_low = available.0 <= target.0 / 2 && target > Tokens(0);
        if !is_low || (self.is_short && now < self.retry_at) {
            return waiting - available;
        }
        waiting + target - available
    }

    fn take(&mut self, cost: Tokens, now: Instant) -> Option<Permit> {
        if self.available(now) < cost {
            return None;
        }
        let expiry = self.batches.front().map_or(now, |batch| batch.expiry);
        let mut missing = cost;
        while missing > Tokens(0)
            && let Some(batch) = self.batches.front_mut()
        {
            let taken = missing.min(batch.count);
            batch.count = batch.count - taken;
            missing = missing - taken;
            if batch.count == Tokens(0) {
                self.batches.pop_front();
            }
        }
        Some(Permit { cost, expiry })
    }
}
