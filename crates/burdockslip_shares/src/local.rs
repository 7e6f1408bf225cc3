//! A host's side of rate limiting: admits operations with tokens from the coordinator.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_directory::OrganisationConfig;
use burdockslip_runtime::{Instant, now, random_range};
use burdockslip_types::Organisation;

use crate::message::{to_single, to_tokens};
use crate::{Demand, Grant};

/// The time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_500);

/// How long after its last operation the bucket of an organisation is evicted.
const EVICT_AFTER: Duration = Duration::from_secs(30);

/// The time whose expected demand is covered by tokens requested in advance, so
/// that most operations do not wait for the coordinator.
const PREFETCH_WINDOW: Duration = Duration::from_millis(300);

/// The fraction of the target below which more tokens are requested.
const REFILL_THRESHOLD: f64 = 0.5;

/// Below this demand in [`PREFETCH_WINDOW`] no tokens are requested in advance:
/// the last operation was some seconds ago.
const MIN_TARGET: f64 = 0.01;

/// Below this target, tokens are requested with the regular reports only, unless
/// an operation waits.
const MIN_URGENT_TARGET: f64 = 2.0;

/// How long after its last contact with a coordinator in a confirmed tenure, or with the
/// store, a host may use its tokens and fractions. See `docs/design/rate-tokens.md`.
pub const SHARE_VALIDITY: Duration = Duration::from_secs(3);

/// How long operations are refused without waiting after the coordinator had no
/// token to grant.
pub(crate) const DENIAL_PERIOD: Duration = Duration::from_millis(100);

/// How long after the coordinator's last answer the host falls back to its
/// fraction. The coordinator considers a host silent a little earlier.
const FALLBACK_AFTER: Duration = Duration::from_millis(900);

/// The fraction of an even share that a host uses until the coordinator first
/// answers. No host uses the fraction that was granted to it before a restart,
/// so the fractions of restarted and of running hosts add up to less than one.
const INITIAL_FRACTION: f64 = 0.9;

/// The fraction of the burst that is available to hosts in fallback.
const FALLBACK_BURST_FRACTION: f64 = 0.6;

/// How long an operation may wait for the next token of the host's own fraction.
const ACCRUAL_LIMIT: Duration = Duration::from_millis(40);

/// The resolution of the random draw for an initial token.
const DRAW_STEPS: u32 = 10_000;

/// The fraction of the slack that is available for initial tokens.
const INITIAL_SLACK_FRACTION: f64 = 0.25;

/// Without operations, demand is reported again once it has fallen below this
/// fraction of the last reported value.
const DECAY_RATIO: f64 = 0.5;

/// Lower demand is reported as none, in operations per second.
const MIN_REPORTED: f64 = 0.05;

/// Selects the organisations in a report to the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandScope {
    /// All of them, for a coordinator that may have no state of this host.
    All,
    /// Those that changed since the last report, and the urgent ones.
    Changed,
    /// Those that need tokens before the next regular report.
    Urgent,
}

/// The decision on an operation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// The operation may run and has used a token.
    Granted,
    /// No token is left, but one may be soon: the coordinator may grant it, or the host's
    /// own fraction yields it.
    Wait,
    /// The operation exceeds the rate.
    Refused(Refusal),
}

/// The host's state when it refused an operation, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// The fraction of the rate that the host uses in fallback.
    pub fraction: f64,
    /// The time since the coordinator's last answer; `None` if it never answered.
    pub age: Option<Duration>,
}

/// The tokens and the demand of one organisation on this host.
#[derive(Debug)]
struct LocalBucket {
    tokens: f64,
    /// Whether the coordinator has not answered yet and no operation was decided;
    /// the first decision may then draw an initial token.
    is_new: bool,
    fraction: f64,
    refilled: Instant,
    /// The moving average of the demand at `measured_at`, in operations per second.
    demand: f64,
    measured_at: Instant,
    waiting: usize,
    /// The tokens for waiting operations that the last report requested.
    requested: u32,
    denied_until: Option<Instant>,
    /// The demand in the last report.
    reported: Option<f64>,
    /// Whether there were operations since the last report.
    is_active: bool,
}

/// Admits the operations of one host within the rates of their organisations.
#[derive(Debug)]
pub struct LocalLimiter {
    buckets: HashMap<Organisation, LocalBucket>,
    last_answer: Option<Instant>,
    /// When the last report was sent that a coordinator answered in a confirmed tenure.
    confirmed_at: Option<Instant>,
    is_disconnected: bool,
    /// The fraction of a bucket created before the coordinator first answered.
    initial_fraction: f64,
    /// Operations in excess of rate and burst that are tolerated per window.
    slack: f64,
}

impl LocalLimiter {
    /// Creates the limiter of a host without tokens; `slack` is the number of
    /// operations in excess of rate and burst that are tolerated per window.
    pub fn new(slack: u32) -> Self {
        Self {
            buckets: HashMap::new(),
            last_answer: None,
            confirmed_at: None,
            is_disconnected: false,
            initial_fraction: 0.0,
            slack: f64::from(slack),
        }
    }

    /// Sets the number of hosts. Until the coordinator first answers, the host
    /// uses a little less than an even share of each rate.
    pub fn set_host_count(&mut self, hosts: usize) {
        let hosts = u32::try_from(hosts.max(1)).map_or(1.0, f64::from);
        self.initial_fraction = INITIAL_FRACTION / hosts;
    }

    /// Returns whether the coordinator has answered since this host started.
    pub const fn has_answer(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Returns the time since the coordinator's last answer; `None` if it never answered.
    pub fn answer_age(&self) -> Option<Duration> {
        self.last_answer.map(Instant::elapsed)
    }

    /// Records that a coordinator in a confirmed tenure answered the report sent at `sent`.
    /// No other one could hand out this host's share then.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Returns whether the host may use its tokens and fractions, given when it last heard
    /// from the store.
    pub fn holds_share(&self, store_age: Option<Duration>) -> bool {
        let confirmed = self.confirmed_at.map(Instant::elapsed);
        let ages = [confirmed, store_age];
        ages.iter().flatten().any(|age| *age < SHARE_VALIDITY)
    }

    /// Takes a token back whose operation was not sent to a member, unless the host holds
    /// as many as it may.
    pub fn give_back(&mut self, config: &OrganisationConfig, tokens: u32) {
        let is_fallback = self.is_fallback();
        let bucket = self.bucket(&config.name);
        bucket.refill(config, is_fallback);
        let most = if is_fallback {
            bucket.fallback_burst(config)
        } else {
            let waiting = u32::try_from(bucket.waiting).map_or(0.0, f64::from);
            bucket.target_level().max(1.0) + waiting
        };
        let room = (most - bucket.tokens).max(0.0);
        bucket.tokens += f64::from(tokens).min(room);
        bucket.is_active = true;
    }

    /// Returns for how long further operations would be refused after one was.
    pub fn denied_for(&mut self, config: &OrganisationConfig) -> Duration {
        let is_fallback = self.is_fallback();
        let bucket = self.bucket(&config.name);
        let denied = bucket.denied_until.map(Instant::remaining);
        let missing = is_fallback.then(|| bucket.next_token(config));
        let span = denied.into_iter().chain(missing).max();
        span.unwrap_or_default().min(DENIAL_PERIOD)
    }

    /// Adds an operation to the demand of its organisation.
    pub fn record_demand(&mut self, organisation: &Organisation) {
        self.record_demands(organisation, 1);
    }

    /// Adds operations to the demand of their organisation.
    pub fn record_demands(&mut self, organisation: &Organisation, count: u32) {
        let bucket = self.bucket(organisation);
        let rate = f64::from(count) / DEMAND_WINDOW.as_secs_f64();
        bucket.demand = bucket.current_demand() + rate;
        bucket.measured_at = now();
        bucket.is_active = true;
    }

    /// Decides whether an operation may run, and takes a token for it if so.
    ///
    /// An operation without a token is refused in fallback unless the fraction yields the
    /// next one shortly, and after the coordinator had no token to grant. A host that has
    /// just started waits for the coordinator's first answer.
    pub fn admit(&mut self, config: &OrganisationConfig) -> Admission {
        let age = self.last_answer.map(Instant::elapsed);
        let is_fallback = self.is_fallback();
        let is_starting = age.is_none() && !self.is_disconnected;
        let slack = self.slack;
        let bucket = self.bucket(&config.name);
        if std::mem::take(&mut bucket.is_new) {
            bucket.draw_initial_token(config, slack);
        }
        bucket.refill(config, is_fallback);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Admission::Granted;
        }
        let is_denied = bucket.denied_until.is_some_and(|until| !until.is_past());
        let is_hopeless = is_fallback && !is_starting && bucket.next_token(config) > ACCRUAL_LIMIT;
        if is_hopeless || is_denied {
            return Admission::Refused(Refusal {
                fraction: bucket.fraction,
                age,
            });
        }
        Admission::Wait
    }

    /// Returns the time until the host's own fraction yields the next token, or `None`
    /// while the coordinator grants tokens.
    pub fn next_token(&mut self, config: &OrganisationConfig) -> Option<Duration> {
        let is_fallback = self.is_fallback();
        let bucket = self.bucket(&config.name);
        is_fallback.then(|| bucket.next_token(config))
    }

    /// Returns whether the host uses its fractions, because the coordinator does not
    /// answer.
    fn is_fallback(&self) -> bool {
        let age = self.last_answer.map(Instant::elapsed);
        self.is_disconnected || age.is_none_or(|age| age > FALLBACK_AFTER)
    }

    /// Adds an operation to those that wait for tokens.
    pub fn begin_wait(&mut self, organisation: &Organisation) {
        self.bucket(organisation).waiting += 1;
    }

    /// Removes an operation from those that wait for tokens.
    pub fn end_wait(&mut self, organisation: &Organisation) {
        let bucket = self.bucket(organisation);
        bucket.waiting = bucket.waiting.saturating_sub(1);
    }

    /// Returns whether some organisation's tokens are running low, so that more
    /// should be requested before the next regular report.
    pub fn is_running_low(&self) -> bool {
        self.buckets.values().any(LocalBucket::is_low)
    }

    /// Returns the demands for the next report to the coordinator.
    ///
    /// Evicts unused organisations; an empty demand tells the coordinator.
    pub fn demands(&mut self, scope: DemandScope) -> Vec<Demand> {
        let mut demands = Vec::new();
        let is_fallback = self.is_fallback();
        self.buckets.retain(|name, bucket| {
            if !is_fallback {
                bucket.discard_idle_tokens();
            }
            let is_unused = bucket.measured_at.elapsed() >= EVICT_AFTER;
            let is_due = match scope {
                DemandScope::All => true,
                DemandScope::Changed => bucket.has_changed() || bucket.is_urgent(),
                DemandScope::Urgent => bucket.is_urgent(),
            };
            if is_unused {
                demands.push(Demand {
                    organisation: name.clone(),
                    rate: 0.0,
                    waiting: 0,
                    prefetch: 0,
                    unused: 0.0,
                    fraction: 0.0,
                });
            } else if is_due {
                demands.push(bucket.report(name));
            }
            !is_unused
        });
        demands
    }

    /// Records that the coordinator did not answer: the host falls back to its
    /// fractions at once, instead of refusing operations that wait for tokens.
    pub fn mark_disconnected(&mut self) {
        self.is_disconnected = true;
    }

    /// Applies the coordinator's answer to a report.
    pub fn apply(&mut self, grants: Vec<Grant>) {
        self.last_answer = Some(now());
        self.is_disconnected = false;
        for grant in grants {
            let bucket = self.bucket(&grant.organisation);
            // Operations that began to wait after the report was sent have not been
            // denied anything.
            let was_requested = std::mem::take(&mut bucket.requested) > 0;
            bucket.tokens += f64::from(grant.tokens);
            bucket.fraction = f64::from(grant.fraction).clamp(0.0, 1.0);
            let is_denied = was_requested && grant.tokens == 0 && bucket.tokens < 1.0;
            bucket.denied_until = is_denied.then(|| now() + DENIAL_PERIOD);
        }
    }

    fn bucket(&mut self, organisation: &Organisation) -> &mut LocalBucket {
        let fraction = if self.last_answer.is_none() {
            self.initial_fraction
        } else {
            0.0
        };
        self.buckets
            .entry(organisation.clone())
            .or_insert_with(|| LocalBucket {
                tokens: 0.0,
                is_new: fraction > 0.0,
                fraction,
                refilled: now(),
                demand: 0.0,
                measured_at: now(),
                waiting: 0,
                requested: 0,
                denied_until: None,
                reported: None,
                is_active: false,
            })
    }
}

impl LocalBucket {
    /// Adds a token with a probability that keeps all hosts together within burst
    /// and slack if they start at the same time.
    fn draw_initial_token(&mut self, config: &OrganisationConfig, slack: f64) {
        let budget = config.burst * FALLBACK_BURST_FRACTION + slack * INITIAL_SLACK_FRACTION;
        let probability = (self.fraction * budget).min(1.0);
        let drawn = u32::try_from(random_range(0..u64::from(DRAW_STEPS))).unwrap_or(DRAW_STEPS);
        if f64::from(drawn) < probability * f64::from(DRAW_STEPS) {
            self.tokens = 1.0;
        }
    }

    /// Adds the tokens accrued since the last refill, in fallback only.
    fn refill(&mut self, config: &OrganisationConfig, is_fallback: bool) {
        let elapsed = self.refilled.elapsed().as_secs_f64();
        self.refilled = now();
        if is_fallback {
            let burst = self.fallback_burst(config);
            let tokens = (self.tokens + elapsed * self.fraction * config.rate).min(burst);
            self.tokens = self.tokens.max(tokens);
        }
    }

    /// Returns the most tokens that the fraction yields.
    fn fallback_burst(&self, config: &OrganisationConfig) -> f64 {
        (self.fraction * config.burst * FALLBACK_BURST_FRACTION).max(1.0)
    }

    /// Returns the time from the last refill until the fraction yields a token for another
    /// operation than those that wait.
    fn next_token(&self, config: &OrganisationConfig) -> Duration {
        let waiting = u32::try_from(self.waiting).map_or(0.0, f64::from);
        let missing = (1.0 + waiting - self.tokens).max(0.0);
        let seconds = missing / (self.fraction * config.rate);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the moving average of the demand, decayed to the present.
    fn current_demand(&self) -> f64 {
        let windows = self.measured_at.elapsed().as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand * (-windows).exp()
    }

    /// Returns the number of tokens to hold for expected operations.
    fn target_level(&self) -> f64 {
        let target = self.current_demand() * PREFETCH_WINDOW.as_secs_f64();
        if target < MIN_TARGET {
            0.0
        } else {
            target.ceil()
        }
    }

    /// Returns whether tokens should be requested before the next regular report.
    /// Organisations with few operations can wait for it.
    fn is_low(&self) -> bool {
        let target = self.target_level();
        target >= MIN_URGENT_TARGET && self.tokens < target * REFILL_THRESHOLD
    }

    /// Returns whether operations wait or tokens are running low, so that a report
    /// is due before the next regular one.
    fn is_urgent(&self) -> bool {
        self.waiting > 0 || self.is_low()
    }

    /// Gives up tokens that no operation is expected to use soon. They count against
    /// the burst of all hosts, and the coordinator learns of it with the next report.
    fn discard_idle_tokens(&mut self) {
        if self.tokens > 0.0 && self.waiting == 0 && self.target_level() <= 0.0 {
            self.tokens = 0.0;
            self.is_active = true;
        }
    }

    /// Returns whether the demand differs from the last report.
    fn has_changed(&self) -> bool {
        let has_decayed = |rate: f64| rate > 0.0 && self.current_demand() < rate * DECAY_RATIO;
        self.is_active || self.reported.is_none_or(has_decayed)
    }

    /// Returns the demand for a report and records that it was reported.
    fn report(&mut self, organisation: &Organisation) -> Demand {
        let rate = self.current_demand();
        let rate = if rate < MIN_REPORTED { 0.0 } else { rate };
        self.reported = Some(rate);
        self.is_active = false;
        self.requested = self.missing_tokens();
        Demand {
            organisation: organisation.clone(),
            rate: to_single(rate),
            waiting: self.requested,
            prefetch: self.tokens_to_prefetch(),
            unused: to_single(self.tokens),
            fraction: to_single(self.fraction),
        }
    }

    /// Returns how many tokens the waiting operations lack.
    fn missing_tokens(&self) -> u32 {
        let waiting = u32::try_from(self.waiting).map_or(0.0, f64::from);
        to_tokens((waiting - self.tokens).ceil())
    }

    /// Returns how many tokens are missing from the target level.
    fn tokens_to_prefetch(&self) -> u32 {
        to_tokens((self.target_level() - self.tokens).ceil())
    }
}
