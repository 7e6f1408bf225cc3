//! Keeps the account of one organisation at the authority of one zone.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::{HostId, Zone};

use crate::bucket::Bucket;
use crate::demand::Demand;
use crate::{Limit, Rate, Tokens};

/// The time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Describes a loan to another zone.
#[derive(Debug, Clone)]
pub(crate) struct Loan {
    /// The zone that borrows.
    pub(crate) zone: Zone,
    /// The host that borrows for it.
    pub(crate) host: HostId,
    /// The order of the host's requests.
    pub(crate) sequence: u64,
    pub(crate) rate: Rate,
    pub(crate) end: Instant,
}

impl Loan {
    /// Returns whether the host of this loan uses no more of `earlier` than it now asks for.
    ///
    /// A request that was overtaken by a later one says nothing about the
    /// later loan, and a new authority of the zone says nothing about the
    /// loans of its predecessor.
    fn reduces(&self, earlier: &Self) -> bool {
        self.zone == earlier.zone && self.host == earlier.host && self.sequence > earlier.sequence
    }
}

/// Describes a loan from another zone.
#[derive(Debug, Clone, Copy)]
struct Borrowed {
    rate: Rate,
    end: Instant,
}

/// Holds the bucket of an organisation with its loans and demand.
#[derive(Debug)]
pub(crate) struct Account {
    /// The part of this zone.
    part: Limit,
    ttl: Duration,
    bucket: Bucket,
    demand: Demand,
    lent: Vec<Loan>,
    borrowed: HashMap<Zone, Borrowed>,
    is_short: bool,
    /// The earliest time to ask for loans again.
    next_loan: Instant,
}

impl Account {
    /// Opens an account that has accrued tokens since `since`, when the authority began.
    pub(crate) fn new(part: Limit, ttl: Duration, since: Instant) -> Self {
        Self {
            part,
            ttl,
            bucket: Bucket::new(part.capacity(ttl), since),
            demand: Demand::new(DEMAND_WINDOW),
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
        let retry_after = self.bucket.wait_for(wanted - count, self.rate(now));
        (count, retry_after)
    }

    /// Lends up to the wanted rate and returns it.
    ///
    /// The borrower uses no more than the wanted rate of earlier loans from
    /// before it asked. It uses either loan until the reply arrives, so the
    /// larger of them is taken from the rate while both last.
    pub(crate) fn lend(&mut self, mut loan: Loan, now: Instant) -> Rate {
        self.refill(now);
        for earlier in self.lent.iter_mut().filter(|earlier| loan.reduces(earlier)) {
            earlier.rate = earlier.rate.min(loan.rate);
        }
        let others = self.lent_to(|zone| *zone != loan.zone);
        let free = self.part.rate - others - self.demand.rate(now).with_margin();
        loan.rate = loan.rate.min(free);
        let rate = loan.rate;
        if rate > Rate::default() {
            self.lent.push(loan);
        }
        rate
    }

    /// Records a loan from `zone` that ends at `end`; the latest reply counts.
    pub(crate) fn borrow_from(&mut self, zone: Zone, rate: Rate, end: Instant, now: Instant) {
        self.refill(now);
        if rate == Rate::default() {
            self.borrowed.remove(&zone);
        } else {
            self.borrowed.insert(zone, Borrowed { rate, end });
        }
    }

    /// Returns the rate that the zone lacks for its demand.
    pub(crate) fn lacking(&mut self, now: Instant) -> Rate {
        self.refill(now);
        self.demand.rate(now).with_margin() - self.part.rate
    }

    /// Uses at most `rate` of the loan from `zone` from now on.
    pub(crate) fn reduce_loan(&mut self, zone: &Zone, rate: Rate, now: Instant) {
        self.refill(now);
        if let Some(loan) = self.borrowed.get_mut(zone) {
            loan.rate = loan.rate.min(rate);
        }
    }

    /// Returns the zones that lend to this one now.
    pub(crate) fn lenders(&self) -> Vec<Zone> {
        self.borrowed.keys().cloned().collect()
    }

    /// Returns whether loans have to be taken, renewed or given back now.
    ///
    /// Small differences are ignored: every change of a loan costs messages,
    /// and the requests that wait get tokens from other zones meanwhile.
    pub(crate) fn needs_loan(&mut self, now: Instant, ahead: Duration) -> bool {
        // A bucket that cannot hold a token would waste the borrowed rate.
        if now < self.next_loan || self.part.capacity(self.ttl) < Tokens::ONE {
            return false;
        }
        let lacking = self.lacking(now);
        let slack = Rate(self.part.rate.0 / 16);
        let borrowed: Rate = self.borrowed.values().map(|loan| loan.rate).sum();
        let is_ending = self.borrowed.values().any(|loan| loan.end < now + ahead);
        let has_too_much = borrowed > lacking + lacking + slack;
        let has_too_little = self.is_short && lacking > borrowed + slack;
        is_ending || has_too_much || has_too_little
    }

    /// Postpones the next loan after the zones have been asked.
    pub(crate) fn note_loans(&mut self, next: Instant) {
        self.next_loan = next;
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

    /// Returns this zone's rate without what it has lent.
    fn own_rate(&self) -> Rate {
        self.part.rate - self.lent_to(|_| true)
    }

    /// Returns what is lent to the selected zones, the largest loan of each.
    fn lent_to(&self, is_selected: impl Fn(&Zone) -> bool) -> Rate {
        let mut rates = HashMap::<&Zone, Rate>::new();
        for loan in self.lent.iter().filter(|loan| is_selected(&loan.zone)) {
            let rate = rates.entry(&loan.zone).or_default();
            *rate = (*rate).max(loan.rate);
        }
        rates.into_values().sum()
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
            .map(|loan| loan.rate.tokens_in(loan.end.min(now).since(updated)))
            .sum();
        self.bucket.refill(self.own_rate(), extra, now);
        self.borrowed.retain(|_, loan| loan.end > now);
        self.lent.retain(|loan| loan.end > now);
    }
}
