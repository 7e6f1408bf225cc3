//! Keeps the account of one organisation at the authority of one zone.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::Zone;

use crate::bucket::Bucket;
use crate::demand::Demand;
use crate::{Limit, Rate, Tokens};

/// The time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Loan {
    rate: Rate,
    end: Instant,
}

/// Holds the bucket of an organisation with its loans and demand.
#[derive(Debug)]
pub(crate) struct Account {
    /// The part of this zone.
    part: Limit,
    life: Duration,
    bucket: Bucket,
    demand: Demand,
    lent: HashMap<Zone, Vec<Loan>>,
    borrowed: HashMap<Zone, Loan>,
    is_short: bool,
}

impl Account {
    pub(crate) fn new(part: Limit, life: Duration, now: Instant) -> Self {
        Self {
            part,
            life,
            bucket: Bucket::new(part.capacity(life), now),
            demand: Demand::new(DEMAND_WINDOW),
            lent: HashMap::new(),
            borrowed: HashMap::new(),
            is_short: false,
        }
    }

    /// Applies a changed limit from the catalogue.
    pub(crate) fn set_limit(&mut self, part: Limit, life: Duration, now: Instant) {
        if part != self.part || life != self.life {
            self.refill(now);
            self.part = part;
            self.life = life;
            self.bucket.resize(part.capacity(life));
        }
    }

    /// Grants up to `wanted` tokens and returns them with the time until the rest is there.
    pub(crate) fn grant(
        &mut self,
        wanted: Tokens,
        arrived: Tokens,
        now: Instant,
    ) -> (Tokens, Duration) {
        self.refill(now);
        self.demand.note(arrived, now);
        let count = self.bucket.take(wanted);
        self.is_short = count < wanted;
        let retry = self.bucket.wait_for(wanted - count, self.rate(now));
        (count, retry)
    }

    /// Lends up to `rate` to `zone` for `life` from now on.
    ///
    /// A renewal replaces the earlier loan. The borrower uses one of the two
    /// until the reply arrives, so the larger of them is taken from the rate
    /// while both last.
    pub(crate) fn lend(&mut self, zone: Zone, rate: Rate, life: Duration, now: Instant) -> Rate {
        self.refill(now);
        let others: Rate = self
            .lent
            .iter()
            .filter(|(borrower, _)| **borrower != zone)
            .map(|(_, loans)| largest(loans))
            .sum();
        let free = self.part.rate - others - self.demand.rate(now).with_margin();
        let rate = rate.min(free);
        let end = now + life;
        self.lent.entry(zone).or_default().push(Loan { rate, end });
        rate
    }

    /// Records a loan from `zone` that ends at `end`; the latest reply counts.
    pub(crate) fn borrow_from(&mut self, zone: Zone, rate: Rate, end: Instant, now: Instant) {
        self.refill(now);
        self.borrowed.insert(zone, Loan { rate, end });
    }

    /// Returns the rate that the zone lacks for its demand.
    pub(crate) fn lacking(&mut self, now: Instant) -> Rate {
        self.refill(now);
        self.demand.rate(now).with_margin() - self.part.rate
    }

    /// Returns whether loans have to be taken or renewed now.
    pub(crate) fn needs_loan(&mut self, now: Instant, ahead: Duration) -> bool {
        let lacking = self.lacking(now);
        let lasting: Rate = self
            .borrowed
            .values()
            .filter(|loan| loan.end > now + ahead)
            .map(|loan| loan.rate)
            .sum();
        lacking > lasting && (self.is_short || !self.borrowed.is_empty())
    }

    /// Returns the tokens in the bucket.
    pub(crate) fn level(&mut self, now: Instant) -> Tokens {
        self.refill(now);
        self.bucket.level()
    }

    /// Adds the tokens that the previous owner handed over.
    pub(crate) fn inherit(&mut self, tokens: Tokens, now: Instant) {
        self.bucket.refill(Rate::default(), tokens, now);
    }

    /// Returns when the last loan to another zone ends.
    pub(crate) fn last_loan(&self) -> Option<Instant> {
        self.lent.values().flatten().map(|loan| loan.end).max()
    }

    fn rate(&self, now: Instant) -> Rate {
        let borrowed: Rate = self
            .borrowed
            .values()
            .filter(|loan| loan.end > now)
            .map(|loan| loan.rate)
            .sum();
        self.own_rate() + borrowed
    }

    /// Returns this zone's rate without what it has lent.
    fn own_rate(&self) -> Rate {
        self.part.rate - self.lent.values().map(|loans| largest(loans)).sum()
    }

    /// Brings the bucket up to date.
    ///
    /// A loan to another zone is taken off until the first refill after its
    /// end, a loan from another zone counts only up to its end.
    fn refill(&mut self, now: Instant) {
        let updated = self.bucket.updated();
        let extra = self
            .borrowed
            .values()
            .map(|loan| loan.rate.over(loan.end.min(now).since(updated)))
            .sum();
        self.bucket.refill(self.own_rate(), extra, now);
        self.borrowed.retain(|_, loan| loan.end > now);
        self.lent.retain(|_, loans| {
            loans.retain(|loan| loan.end > now);
            !loans.is_empty()
        });
    }
}

fn largest(loans: &[Loan]) -> Rate {
    loans.iter().map(|loan| loan.rate).max().unwrap_or_default()
}
