//! The account of one organisation at the authority of one zone: bucket, demand and loans.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::{HostId, Zone};

use crate::bucket::Bucket;
use crate::demand::DemandEstimator;
use crate::{Limit, Rate, Tokens};

/// The window over which demand is estimated.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// A loan of rate to another zone.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingLoan {
    /// The borrowing zone.
    pub(crate) zone: Zone,
    /// The borrowing authority.
    pub(crate) host: HostId,
    /// Orders the requests of `host`: a later request has a higher number.
    pub(crate) sequence: u64,
    pub(crate) rate: Rate,
    pub(crate) end: Instant,
}

impl OutgoingLoan {
    /// Returns whether `earlier` is reduced to the rate of this loan.
    ///
    /// A host that requests a loan uses no more than the requested rate of its
    /// earlier loans. This does not hold for a request that arrives after a
    /// later one of the same host, nor for loans to the previous authority of
    /// the borrowing zone.
    fn supersedes(&self, earlier: &Self) -> bool {
        self.zone == earlier.zone && self.host == earlier.host && self.sequence > earlier.sequence
    }
}

/// A loan of rate from another zone.
#[derive(Debug, Clone, Copy)]
struct IncomingLoan {
    rate: Rate,
    end: Instant,
}

/// The token bucket of an organisation in one zone, with its loans and demand.
#[derive(Debug)]
pub(crate) struct Account {
    /// This zone's part of the organisation's limit.
    part: Limit,
    /// The time to live of granted tokens.
    ttl: Duration,
    bucket: Bucket,
    demand: DemandEstimator,
    lent: Vec<OutgoingLoan>,
    borrowed: HashMap<Zone, IncomingLoan>,
    /// Whether the last grant was smaller than requested.
    is_short: bool,
    /// The earliest time of the next round of loan requests.
    next_loan: Instant,
}

impl Account {
    /// Creates an account whose bucket was empty at `since`, when the authority began.
    pub(crate) fn new(part: Limit, ttl: Duration, since: Instant) -> Self {
        Self {
            part,
            ttl,
            bucket: Bucket::new(part.capacity(ttl), since),
            demand: DemandEstimator::new(DEMAND_WINDOW),
            lent: Vec::new(),
            borrowed: HashMap::new(),
            is_short: false,
            next_loan: since,
        }
    }

    /// Applies a changed limit from the catalogue.
    pub(crate) fn set_limit(&mut self, part: Limit, ttl: Duration, now: Instant) {
        if part != self.part || ttl != self.ttl {
            self.refill(now);
            self.part = part;
            self.ttl = ttl;
            self.bucket.resize(part.capacity(ttl));
        }
    }

    /// Grants up to `wanted` tokens; returns them with the time until the missing ones are
    /// available.
    pub(crate) fn grant(
        &mut self,
        wanted: Tokens,
        arrived: Tokens,
        now: Instant,
    ) -> (Tokens, Duration) {
        self.refill(now);
        self.demand.record(arrived, now);
        let count = self.bucket.take(wanted);
        self.is_short = count < wanted;
        let retry_after = self.bucket.wait_for(wanted - count, self.rate(now));
        (count, retry_after)
    }

    /// Lends up to the rate of `loan` and returns the rate lent.
    ///
    /// Before the borrower sends a request, it stops using more than the
    /// requested rate of its earlier loan. Until the reply arrives, it may use
    /// either loan, so the larger of both is deducted from this zone's rate
    /// while both are valid.
    pub(crate) fn lend(&mut self, mut loan: OutgoingLoan, now: Instant) -> Rate {
        self.refill(now);
        for earlier in self
            .lent
            .iter_mut()
            .filter(|earlier| loan.supersedes(earlier))
        {
            earlier.rate = earlier.rate.min(loan.rate);
        }
        let others = self.lent_rate(|zone| *zone != loan.zone);
        let free = self.part.rate - others - self.demand.rate(now).with_margin();
        loan.rate = loan.rate.min(free);
        let rate = loan.rate;
        if rate > Rate::default() {
            self.lent.push(loan);
        }
        rate
    }

    /// Records a loan from `zone` that ends at `end` and replaces an earlier one from there.
    pub(crate) fn borrow_from(&mut self, zone: Zone, rate: Rate, end: Instant, now: Instant) {
        self.refill(now);
        if rate == Rate::default() {
            self.borrowed.remove(&zone);
        } else {
            self.borrowed.insert(zone, IncomingLoan { rate, end });
        }
    }

    /// Returns by how much the demand, with a margin, exceeds this zone's part of the rate.
    pub(crate) fn shortfall(&mut self, now: Instant) -> Rate {
        self.refill(now);
        self.demand.rate(now).with_margin() - self.part.rate
    }

    /// Reduces the loan from `zone` to at most `rate` from now on.
    pub(crate) fn cap_loan(&mut self, zone: &Zone, rate: Rate, now: Instant) {
        self.refill(now);
        if let Some(loan) = self.borrowed.get_mut(zone) {
            loan.rate = loan.rate.min(rate);
        }
    }

    /// Returns the zones that lend rate to this one.
    pub(crate) fn lenders(&self) -> Vec<Zone> {
        self.borrowed.keys().cloned().collect()
    }

    /// Returns whether loans should be taken, renewed or returned now.
    ///
    /// Loans that end within `ahead` are renewed. Small differences between
    /// loans and demand are ignored: every change of a loan costs messages,
    /// and waiting requests get tokens from other zones meanwhile.
    pub(crate) fn should_adjust_loans(&mut self, now: Instant, ahead: Duration) -> bool {
        // A bucket with a capacity below one token cannot use borrowed rate.
        if now < self.next_loan || self.part.capacity(self.ttl) < Tokens::ONE {
            return false;
        }
        let shortfall = self.shortfall(now);
        let tolerance = Rate(self.part.rate.0 / 16);
        let borrowed: Rate = self.borrowed.values().map(|loan| loan.rate).sum();
        let is_expiring = self.borrowed.values().any(|loan| loan.end < now + ahead);
        let exceeds_need = borrowed > shortfall + shortfall + tolerance;
        let falls_short = self.is_short && shortfall > borrowed + tolerance;
        is_expiring || exceeds_need || falls_short
    }

    /// Sets the earliest time of the next round of loan requests.
    pub(crate) fn defer_loans(&mut self, next: Instant) {
        self.next_loan = next;
    }

    /// Returns the number of tokens in the bucket.
    pub(crate) fn level(&mut self, now: Instant) -> Tokens {
        self.refill(now);
        self.bucket.level()
    }

    /// Adds tokens handed over by the previous authority, up to the capacity of the bucket.
    pub(crate) fn credit(&mut self, tokens: Tokens, now: Instant) {
        self.bucket.refill(Rate::default(), tokens, now);
    }

    /// Returns the end of the loan to another zone that ends last; `None` without loans.
    pub(crate) fn last_loan_end(&self) -> Option<Instant> {
        self.lent.iter().map(|loan| loan.end).max()
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

    /// Returns this zone's part of the rate less the rate lent to other zones.
    fn own_rate(&self) -> Rate {
        self.part.rate - self.lent_rate(|_| true)
    }

    /// Returns the rate lent to the selected zones; of several loans to one zone, the largest
    /// counts.
    fn lent_rate(&self, is_selected: impl Fn(&Zone) -> bool) -> Rate {
        let mut rates = HashMap::<&Zone, Rate>::new();
        for loan in self.lent.iter().filter(|loan| is_selected(&loan.zone)) {
            let rate = rates.entry(&loan.zone).or_default();
            *rate = (*rate).max(loan.rate);
        }
        rates.into_values().sum()
    }

    /// Adds the tokens accrued since the last refill and drops expired loans.
    ///
    /// The rate lent to another zone is deducted until the first refill after
    /// the end of the loan; borrowed rate counts only up to the end of the loan.
    fn refill(&mut self, now: Instant) {
        let updated = self.bucket.updated();
        let extra = self
            .borrowed
            .values()
            .map(|loan| loan.rate.tokens_in(loan.end.min(now).since(updated)))
            .sum();
        self.bucket.refill(self.own_rate(), extra, now);
        self.borrowed.retain(|_, loan| loan.end > now);
        self.lent.retain(|loan| loan.end > now);
    }
}
