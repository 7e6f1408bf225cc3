//! Admits operations of one host within the fractions granted to it.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_directory::Account;
use burdockslip_runtime::{Instant, now};
use burdockslip_types::Organisation;

use crate::{Demand, Grant};

/// Weighs the demand of the last second in the moving average.
const DEMAND_SPAN: Duration = Duration::from_millis(1_500);

/// Drops an organisation that was not used for this long.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Reports that an operation exceeds the host's part of the rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// The fraction of the organisation's rate that this host holds.
    pub fraction: f64,
    /// The time until the next operation would be admitted, if the rate is not zero.
    pub wait: Option<Duration>,
}

#[derive(Debug)]
struct Bucket {
    fraction: f64,
    tokens: f64,
    filled: Instant,
    wanted: f64,
    measured: Instant,
}

/// Keeps the buckets of one host.
#[derive(Debug, Default)]
pub struct LocalRates {
    buckets: HashMap<Organisation, Bucket>,
}

impl LocalRates {
    /// Takes one operation of an organisation into account.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the host's part of the rate is used up.
    pub fn admit(&mut self, account: &Account) -> Result<(), Refusal> {
        let bucket = self.buckets.entry(account.name.clone()).or_insert_with(Bucket::empty);
        bucket.want();
        bucket.fill(account);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let rate = bucket.fraction * account.rate;
        let wait = (rate > 0.0).then(|| Duration::from_secs_f64((1.0 - bucket.tokens) / rate));
        Err(Refusal {
            fraction: bucket.fraction,
            wait,
        })
    }

    /// Returns what the coordinator should know.
    pub fn demands(&mut self) -> Vec<Demand> {
        self.buckets
            .retain(|_, bucket| bucket.measured.elapsed() < FORGET_AFTER);
        let demand = |(name, bucket): (&Organisation, &Bucket)| Demand {
            organisation: name.clone(),
            wanted: bucket.wanted_now(),
            held: bucket.fraction,
        };
        self.buckets.iter().map(demand).collect()
    }

    /// Takes over grants; tokens above a smaller burst are lost, and a larger
    /// burst fills at the rate.
    pub fn apply(&mut self, grants: Vec<Grant>, account: impl Fn(&Organisation) -> Option<Account>) {
        for grant in grants {
            let Some(account) = account(&grant.organisation) else {
                continue;
            };
            let bucket = self
                .buckets
                .entry(grant.organisation)
                .or_insert_with(Bucket::empty);
            bucket.fill(&account);
            bucket.fraction = grant.fraction.clamp(0.0, 1.0);
            bucket.fill(&account);
        }
    }
}

impl Bucket {
    fn empty() -> Self {
        Self {
            fraction: 0.0,
            tokens: 0.0,
            filled: now(),
            wanted: 0.0,
            measured: now(),
        }
    }

    fn fill(&mut self, account: &Account) {
        let span = self.filled.elapsed().as_secs_f64();
        self.filled = now();
        let burst = (self.fraction * account.burst).max(self.fraction.signum());
        self.tokens = (self.tokens + span * self.fraction * account.rate).min(burst);
    }

    fn want(&mut self) {
        self.wanted = self.wanted_now() + 1.0 / DEMAND_SPAN.as_secs_f64();
        self.measured = now();
    }

    /// Returns the moving average, which decays while nothing is asked for.
    fn wanted_now(&self) -> f64 {
        let spans = self.measured.elapsed().as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        self.wanted * (-spans).exp()
    }
}
