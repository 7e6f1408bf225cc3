//! The rate of one paced member.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range};
use burdockslip_types::HostId;
use tracing::info;

use crate::bucket::Bucket;
use crate::feedback::{Feedback, Sample, Verdict};
use crate::message::{DEMAND_WINDOW, to_rate, to_single, to_whole};
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

/// The factor on the part of the rate that an overloaded member answers, and the lowest
/// one on the rate.
const DECREASE: f64 = 0.9;
const MAX_DECREASE: f64 = 0.5;

/// The lowest rate that is not a limit for cold members, in statements a second: enough
/// to see whether the member has recovered.
const MIN_RATE: f64 = 4.0;

/// The highest rate, as a multiple of the demand.
const MAX_EXCESS: f64 = 6.0;

/// The permits a second with which a host always holds one. Hosts with little demand use
/// few of them.
const HOST_RATE: f64 = 3.0;

/// The excess of the rate over the demand, and the fraction of the demand that is
/// answered, from which a ramp may end, and for how long.
const END_EXCESS: f64 = 1.25;
const END_SERVED: f64 = 0.5;
const END_SPAN: Duration = Duration::from_millis(200);

/// How long nobody has asked for the member before its ramp ends.
const IDLE_SPAN: Duration = Duration::from_secs(3);

/// How long a ramp lasts at most, unless the member is cold. Hosts know by then what they
/// can expect of it.
const MAX_SPAN: Duration = Duration::from_secs(20);

/// The longest cold time that counts in a report.
const MAX_COLD: Duration = Duration::from_hours(1);

/// How long the demand of a host counts after its last report.
const DEMAND_VALIDITY: Duration = Duration::from_millis(1_300);

/// The minimum time between two sums over the hosts, of which there may be hundreds.
const COUNT_PERIOD: Duration = Duration::from_millis(10);

/// The time in which the tokens of a member accrue that is not limited.
const BURST_SPAN: f64 = 0.25;

/// The time in which demand has been measured at least, in seconds.
const MIN_MEASURED: f64 = 0.3;

/// The fraction of the bucket from which hosts get a permit ahead of their part, because
/// the others do not ask for theirs.
const IDLE_FRACTION: f64 = 0.5;

/// The weight of a new sample in the moving average of the throughput.
const THROUGHPUT_WEIGHT: f64 = 0.5;

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
    /// The statements that were answered in a second, as a moving average.
    throughput: f64,
    bucket: Bucket,
    feedback: Feedback,
    hosts: HashMap<HostId, HostDemand>,
    /// The sum over `hosts`.
    demand: f64,
    counted: Instant,
    has_set_back: bool,
    was_cold: bool,
    /// When a host last reported that the member is cold, and until when.
    reported_cold: Option<(Instant, Instant)>,
    /// Since when the member has not been cold.
    warm: Instant,
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
        // Only a cold member may still be using permits of another coordinator.
        let tokens = if sighting.is_limited() {
            0.0
        } else {
            rate * BURST_SPAN
        };
        Self {
            was_cold: sighting.is_cold(),
            sighting,
            started: now(),
            rate,
            throughput: 0.0,
            bucket: Bucket::new(tokens),
            feedback: Feedback::new(),
            hosts: HashMap::new(),
            demand: 0.0,
            counted: now(),
            has_set_back: false,
            reported_cold: None,
            warm: now(),
            satisfied: None,
            wanted: now(),
            logged: (now(), rate),
        }
    }

    /// Starts again for another run of the member, or after it was lost. What has been
    /// granted still counts.
    pub(crate) fn restart(&mut self, sighting: Sighting, reason: &'static str) {
        let bucket = std::mem::replace(&mut self.bucket, Bucket::new(0.0));
        let hosts = std::mem::take(&mut self.hosts);
        *self = Self {
            bucket,
            hosts,
            demand: self.demand,
            was_cold: self.was_cold,
            ..Self::new(sighting, None, reason)
        };
    }

    /// Takes over what the coordinator itself knows about the run. The member is also cold
    /// as long as a host reports that it is: it may know a newer record, or not yet know one
    /// that ends the cold time early.
    pub(crate) fn refresh(&mut self, sighting: &Sighting) {
        let reported = self
            .reported_cold
            .filter(|(at, _)| at.elapsed() < DEMAND_VALIDITY)
            .map(|(_, until)| until);
        self.sighting = Sighting {
            cold_until: sighting.cold_until.max(reported),
            ..sighting.clone()
        };
    }

    /// Records the demand of a host and the answers that it got.
    pub(crate) fn record(&mut self, host: &HostId, demand: &MemberDemand) {
        if !demand.cold.is_zero() {
            let until = now() + demand.cold.min(MAX_COLD);
            self.reported_cold = Some((now(), until));
            self.sighting.cold_until = self.sighting.cold_until.max(Some(until));
        }
        self.feedback.record(demand);
        let rate = to_rate(demand.rate);
        if rate > 0.0 || demand.waiting > 0 {
            self.wanted = now();
        }
        let known = self.hosts.entry(host.clone()).or_insert(HostDemand {
            reported_at: now(),
            rate: 0.0,
            // Hosts with little demand would all wait for their first permit.
            credit: random_fraction(),
        });
        known.reported_at = now();
        self.demand = (self.demand + rate - known.rate).max(0.0);
        known.rate = rate;
    }

    /// Adjusts the rate to what the answers show; `hosts` is the number of hosts that
    /// report. Returns whether the ramp is over.
    pub(crate) fn step(&mut self, hosts: usize) -> bool {
        self.count_demand();
        let is_cold = self.sighting.is_cold();
        if is_cold && !self.was_cold {
            // What was granted before the member was cold is not within the limit.
            self.bucket.empty();
        }
        if self.was_cold && !is_cold {
            // Its answers were slow because it was cold.
            self.has_set_back = false;
            self.feedback = Feedback::new();
        }
        self.was_cold = is_cold;
        if is_cold {
            (self.warm, self.wanted, self.satisfied) = (now(), now(), None);
        }
        if let Some(sample) = self.feedback.take_sample() {
            let hosts = u32::try_from(hosts).map_or(0.0, f64::from);
            self.adjust(sample, hosts);
        }
        let elapsed = self.warm.elapsed();
        let is_over = self
            .satisfied
            .is_some_and(|since| since.elapsed() >= END_SPAN)
            || self.wanted.elapsed() >= IDLE_SPAN
            || elapsed >= MAX_SPAN;
        if is_over && !is_cold {
            info!(member = %self.sighting.member, rate = self.rate, demand = self.demand,
                after_ms = self.started.elapsed().as_millis(), "pace of a member ended");
        }
        is_over && !is_cold
    }

    fn adjust(&mut self, sample: Sample, hosts: f64) {
        let verdict = sample.verdict;
        self.throughput += THROUGHPUT_WEIGHT * (sample.throughput - self.throughput);
        let demand = self.expected_demand();
        let ceiling = (demand * MAX_EXCESS)
            .max(hosts * HOST_RATE)
            .max(self.start_rate());
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
            Verdict::Overloaded(refused) => {
                self.has_set_back = true;
                self.rate * (DECREASE * (1.0 - refused)).max(MAX_DECREASE)
            }
        };
        // A member that gets warm starts from what it bore while it was cold.
        let budget = self.sighting.rules.cold_budget();
        let budget = budget.filter(|_| self.sighting.is_cold());
        let most = budget.map_or(f64::INFINITY, |budget| budget.rate);
        self.rate = rate.min(most).max(MIN_RATE);
        // Permits also expire unused, so the rate alone does not show what the member bears.
        let is_enough = verdict == Verdict::Healthy
            && self.rate >= demand * END_EXCESS
            && self.throughput >= demand * END_SERVED;
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
        let own = self.hosts.get_mut(host);
        let own_rate = own.as_ref().map_or(0.0, |own| own.rate);
        let share = if fleet > 0.0 {
            rate * (own_rate / fleet).min(1.0)
        } else {
            0.0
        };
        // Permits in advance are divided by demand; those for statements that wait go to
        // whoever comes first, and those that are left over to any host.
        let is_idle =
            !self.sighting.is_limited() && self.bucket.available() >= capacity * IDLE_FRACTION;
        let least = if is_idle { 1.0 } else { 0.0 };
        let credit = own.as_ref().map_or(0.0, |own| own.credit).max(least);
        let advance = credit.min(f64::from(prefetch)).floor();
        let permits = self.bucket.take(f64::from(waiting) + advance);
        if let Some(own) = own {
            own.credit = (own.credit - (permits - f64::from(waiting)).max(0.0)).max(0.0);
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

    /// Returns the demand of all hosts. Their averages started at zero with the ramp.
    fn expected_demand(&self) -> f64 {
        let elapsed = self.started.elapsed().as_secs_f64().max(MIN_MEASURED);
        self.demand / (1.0 - (-elapsed / DEMAND_WINDOW).exp())
    }

    fn start_rate(&self) -> f64 {
        start_rate(&self.sighting, None)
    }
}

/// Returns a random number from 0 to 1.
fn random_fraction() -> f64 {
    let drawn = random_range(0..u64::from(u16::MAX));
    u32::try_from(drawn).map_or(0.0, f64::from) / f64::from(u16::MAX)
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
