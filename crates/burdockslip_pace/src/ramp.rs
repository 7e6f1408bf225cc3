//! The rate of one paced member.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::HostId;
use tracing::info;

use crate::bucket::Bucket;
use crate::feedback::{Feedback, Verdict};
use crate::message::{to_rate, to_single, to_whole};
use crate::{MemberDemand, PERMIT_LIFETIME, PaceGrant, Sighting};

/// The latency assumed while that of the other members is unknown, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 20.0;

/// The fraction of what the slots of a member can run with which its ramp starts.
const START_FRACTION: f64 = 0.25;

/// The fraction of what the slots of a slow member can run up to which its rate grows.
const SLOW_FRACTION: f64 = 0.8;

/// The growth of the rate with each healthy sample, before and after the first setback.
const GROWTH: f64 = 2.0;
const CAREFUL_GROWTH: f64 = 1.25;

/// The factor on the rate of an overloaded member.
const DECREASE: f64 = 0.6;

/// The lowest rate that is not a limit for cold members, in statements a second: enough
/// to see whether the member has recovered.
const MIN_RATE: f64 = 4.0;

/// The highest rate, as a multiple of the demand.
const MAX_EXCESS: f64 = 4.0;

/// The excess of the rate over the demand from which a ramp may end, and for how long.
const END_EXCESS: f64 = 1.25;
const END_SPAN: Duration = Duration::from_millis(300);

/// How long nobody has asked for the member before its ramp ends.
const IDLE_SPAN: Duration = Duration::from_secs(3);

/// How long a ramp lasts at most, unless the member is cold. Hosts know by then what they
/// can expect of it.
const MAX_SPAN: Duration = Duration::from_secs(20);

/// How long the demand of a host counts after its last report.
const DEMAND_VALIDITY: Duration = Duration::from_millis(1_300);

/// The minimum time between two sums over the hosts, of which there may be hundreds.
const COUNT_PERIOD: Duration = Duration::from_millis(10);

/// The time in which the tokens of a member accrue that is not limited.
const BURST_SPAN: f64 = 0.25;

/// The minimum time between two log lines about the rate.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// One host's demand for the member.
#[derive(Debug)]
struct HostDemand {
    reported_at: Instant,
    /// The statements a second that it would send.
    rate: f64,
    /// Its part of the rate that has accrued since, in permits.
    credit: f64,
}

/// The rate and the permits of a member that starts, recovers or is cold.
#[derive(Debug)]
pub(crate) struct Ramp {
    pub(crate) sighting: Sighting,
    started: Instant,
    rate: f64,
    bucket: Bucket,
    feedback: Feedback,
    hosts: HashMap<HostId, HostDemand>,
    /// The sum over `hosts`.
    demand: f64,
    counted: Instant,
    has_set_back: bool,
    was_cold: bool,
    /// Since when the rate has been above the demand with healthy answers.
    satisfied: Option<Instant>,
    wanted: Instant,
    logged: (Instant, f64),
}

impl Ramp {
    /// Starts a ramp. `latency` is that of the other members in milliseconds, if known.
    pub(crate) fn new(sighting: Sighting, latency: Option<f64>, reason: &'static str) -> Self {
        let rate = start_rate(&sighting, latency);
        info!(member = %sighting.member, born = sighting.born, rate, reason,
            cold_ms = sighting.cold_left().as_millis(), "pace of a member started");
        Self {
            was_cold: sighting.is_cold(),
            sighting,
            started: now(),
            rate,
            bucket: Bucket::new(),
            feedback: Feedback::new(),
            hosts: HashMap::new(),
            demand: 0.0,
            counted: now(),
            has_set_back: false,
            satisfied: None,
            wanted: now(),
            logged: (now(), rate),
        }
    }

    /// Starts again for another run of the member, or after it was lost. What has been
    /// granted still counts.
    pub(crate) fn restart(&mut self, sighting: Sighting, reason: &'static str) {
        let bucket = std::mem::replace(&mut self.bucket, Bucket::new());
        let hosts = std::mem::take(&mut self.hosts);
        *self = Self {
            bucket,
            hosts,
            demand: self.demand,
            was_cold: self.was_cold,
            ..Self::new(sighting, None, reason)
        };
    }

    /// Takes over what the coordinator itself knows about the run.
    pub(crate) fn refresh(&mut self, sighting: &Sighting) {
        let cold_until = self.sighting.cold_until.filter(|until| !until.is_past());
        // A newer record that ends the cold time early is not known to all hosts yet.
        self.sighting = Sighting {
            cold_until: cold_until.max(sighting.cold_until),
            ..sighting.clone()
        };
    }

    /// Records the demand of a host and the answers that it got.
    pub(crate) fn record(&mut self, host: &HostId, demand: &MemberDemand) {
        if !demand.cold.is_zero() {
            let until = Some(now() + demand.cold);
            self.sighting.cold_until = self.sighting.cold_until.max(until);
        }
        self.feedback.record(demand);
        let rate = to_rate(demand.rate);
        if rate > 0.0 || demand.waiting > 0 {
            self.wanted = now();
        }
        let known = self.hosts.entry(host.clone()).or_insert(HostDemand {
            reported_at: now(),
            rate: 0.0,
            credit: 0.0,
        });
        known.reported_at = now();
        self.demand = (self.demand + rate - known.rate).max(0.0);
        known.rate = rate;
    }

    /// Adjusts the rate to what the answers show. Returns whether the ramp is over.
    pub(crate) fn step(&mut self) -> bool {
        self.count_demand();
        let is_cold = self.sighting.is_cold();
        if is_cold && !self.was_cold {
            // What was granted before the member was cold is not within the limit.
            self.bucket.empty();
        }
        self.was_cold = is_cold;
        if let Some(verdict) = self.feedback.take_verdict() {
            self.adjust(verdict);
        }
        let elapsed = self.started.elapsed();
        let is_over = self
            .satisfied
            .is_some_and(|since| since.elapsed() >= END_SPAN)
            || self.wanted.elapsed() >= IDLE_SPAN
            || elapsed >= MAX_SPAN;
        if is_over && !is_cold {
            info!(member = %self.sighting.member, rate = self.rate, demand = self.demand,
                after_ms = elapsed.as_millis(), "pace of a member ended");
        }
        is_over && !is_cold
    }

    fn adjust(&mut self, verdict: Verdict) {
        let ceiling = (self.demand * MAX_EXCESS).max(self.start_rate());
        let growth = if self.has_set_back {
            CAREFUL_GROWTH
        } else {
            GROWTH
        };
        let rate = match verdict {
            Verdict::Healthy => (self.rate * growth).min(ceiling),
            Verdict::Slow(latency) => {
                self.has_set_back = true;
                let able = f64::from(self.sighting.slots.max(1)) * 1000.0 / latency;
                (self.rate * CAREFUL_GROWTH).min(able * SLOW_FRACTION)
            }
            Verdict::Overloaded => {
                self.has_set_back = true;
                self.rate * DECREASE
            }
        };
        self.rate = rate.max(MIN_RATE);
        let is_enough = verdict == Verdict::Healthy && self.rate >= self.demand * END_EXCESS;
        self.satisfied = is_enough.then(|| self.satisfied.unwrap_or_else(now));
        let (logged, last) = self.logged;
        if logged.elapsed() >= LOG_PERIOD && (self.rate - last).abs() > last * 0.1 {
            self.logged = (now(), self.rate);
            info!(member = %self.sighting.member, rate = self.rate, demand = self.demand,
                ?verdict, "pace of a member changed");
        }
    }

    /// Returns the permits and the part of the rate of a host, which waits for `waiting`
    /// permits and requests `prefetch` in advance.
    pub(crate) fn grant(&mut self, host: &HostId, waiting: u32, prefetch: u32) -> PaceGrant {
        let (rate, capacity) = self.limits();
        self.bucket.refill(rate, capacity);
        let fleet = self.demand;
        let (mut share, mut permits) = (0.0, 0.0);
        if let Some(own) = self.hosts.get_mut(host) {
            if fleet > 0.0 {
                share = rate * (own.rate / fleet).min(1.0);
            }
            // Permits in advance are divided by demand; those for statements that wait
            // go to whoever comes first.
            let advance = own.credit.min(f64::from(prefetch)).floor();
            permits = self.bucket.take(f64::from(waiting) + advance);
            own.credit -= (permits - f64::from(waiting)).max(0.0);
        }
        PaceGrant {
            member: self.sighting.member.clone(),
            born: self.sighting.born,
            permits: to_whole(permits),
            is_limited: self.sighting.is_limited(),
            rate: to_single(rate),
            share: to_single(share),
        }
    }

    /// Returns the rate and the capacity of the bucket.
    fn limits(&self) -> (f64, f64) {
        let budget = self.sighting.rules.cold_budget();
        match budget.filter(|_| self.sighting.is_cold()) {
            Some(budget) => (self.rate.min(budget.rate), budget.capacity),
            None => (self.rate, (self.rate * BURST_SPAN).max(1.0)),
        }
    }

    /// Sums up the demand of the hosts that report, and adds to their credit.
    fn count_demand(&mut self) {
        if self.counted.elapsed() < COUNT_PERIOD {
            return;
        }
        let elapsed = self.counted.elapsed().as_secs_f64();
        self.counted = now();
        let (rate, _) = self.limits();
        self.hosts
            .retain(|_, known| known.reported_at.elapsed() < DEMAND_VALIDITY);
        self.demand = self.hosts.values().map(|known| known.rate).sum();
        if self.demand <= 0.0 {
            return;
        }
        for known in self.hosts.values_mut() {
            let share = rate * known.rate / self.demand;
            let most = (share * PERMIT_LIFETIME.as_secs_f64()).max(1.0);
            known.credit = (known.credit + share * elapsed).min(most);
        }
    }

    fn start_rate(&self) -> f64 {
        start_rate(&self.sighting, None)
    }
}

/// Returns the first rate of a member, in statements a second.
fn start_rate(sighting: &Sighting, latency: Option<f64>) -> f64 {
    let latency = latency.filter(|latency| *latency > 1.0);
    let able = f64::from(sighting.slots.max(1)) * 1000.0 / latency.unwrap_or(DEFAULT_LATENCY_MS);
    let start = (able * START_FRACTION).max(MIN_RATE);
    let cold_rate = sighting.rules.cold_rate();
    match cold_rate.filter(|_| sighting.is_cold()) {
        Some(rate) => rate,
        None => start,
    }
}
