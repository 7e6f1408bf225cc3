//! Admits operations of one host with tokens from the coordinator.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_directory::OrganisationConfig;
use burdockslip_runtime::{Instant, now, random_range};
use burdockslip_types::Organisation;

use crate::message::{to_single, to_tokens};
use crate::{Demand, Grant};

/// The time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(1_500);

/// Drops an organisation that was not used for this long.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Tokens are held for the demand of this time, so that most operations need
/// not wait for the coordinator.
const HOLD_SPAN: Duration = Duration::from_millis(300);

/// Below this part of what should be held, more is asked for.
const LOW_PART: f64 = 0.5;

/// Below this demand in [`HOLD_SPAN`] nothing is held: the last operation is
/// some seconds old.
const LEAST_LEVEL: f64 = 0.01;

/// Below this level tokens are only asked for in the regular reports, or when
/// an operation waits.
const LOW_LEVEL: f64 = 2.0;

/// How long operations are refused at once after the coordinator had no token.
const DENIAL_SPAN: Duration = Duration::from_millis(100);

/// How long after the last answer the host falls back to its fraction. The
/// coordinator takes a host for silent a little earlier.
const FALLBACK_AFTER: Duration = Duration::from_millis(900);

/// The part of an even share that a host uses before it first hears from the
/// coordinator. What it held before it restarted is nobody's meanwhile, so the
/// parts of restarted hosts and of those that went on stay below the whole.
const START_PART: f64 = 0.9;

/// The part of an organisation's burst that a fraction includes.
const FALLBACK_BURST: f64 = 0.6;

/// The steps in which the probability of a token at the start is drawn.
const DRAWS: u32 = 10_000;

/// The part of the slack that hosts share out at their start.
const START_SLACK: f64 = 0.25;

/// The part of the last reported demand below which it is reported again
/// although there were no operations.
const DECAY_PART: f64 = 0.5;

/// Reports demand below this rate as none, in operations a second.
const LEAST_TOLD: f64 = 0.05;

/// Says what the coordinator is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandScope {
    /// Everything, because it may know nothing.
    All,
    /// What it knows differently.
    Changed,
    /// What cannot wait for the next regular report.
    Urgent,
}

/// Says whether an operation may run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It may run.
    Granted,
    /// The coordinator has to be asked for tokens.
    Wait,
    /// It exceeds the rate.
    Refused(Refusal),
}

/// Reports why an operation exceeds the rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// The fraction that the host may use without the coordinator.
    pub fraction: f64,
    /// The time since the coordinator last answered.
    pub age: Option<Duration>,
}

#[derive(Debug)]
struct Holding {
    tokens: f64,
    /// Whether the host has not heard from the coordinator and used nothing yet.
    is_new: bool,
    fraction: f64,
    filled: Instant,
    wanted: f64,
    measured: Instant,
    waiting: usize,
    denied: Option<Instant>,
    /// The demand that the coordinator was told last.
    told: Option<f64>,
    /// Whether there were operations since then.
    is_used: bool,
}

/// Keeps the tokens of one host.
#[derive(Debug)]
pub struct LocalLimiter {
    holdings: HashMap<Organisation, Holding>,
    answered: Option<Instant>,
    has_failed: bool,
    start: f64,
    /// The operations beyond rate and burst that the operators tolerate.
    slack: f64,
}

impl LocalLimiter {
    /// Builds the state of a host that holds nothing; `slack` is how many
    /// operations beyond rate and burst the operators tolerate in a window.
    pub fn new(slack: u32) -> Self {
        Self {
            holdings: HashMap::new(),
            answered: None,
            has_failed: false,
            start: 0.0,
            slack: f64::from(slack),
        }
    }

    /// Sets the number of hosts, which gives a host that has just started and
    /// has not heard from the coordinator a part to start with.
    pub fn set_host_count(&mut self, hosts: usize) {
        let hosts = u32::try_from(hosts.max(1)).map_or(1.0, f64::from);
        self.start = START_PART / hosts;
    }

    /// Notes that a client asks for an operation.
    pub fn record_demand(&mut self, organisation: &Organisation) {
        let holding = self.holding(organisation);
        holding.wanted = holding.wanted_now() + 1.0 / DEMAND_SPAN.as_secs_f64();
        holding.measured = now();
        holding.is_used = true;
    }

    /// Takes a token for an operation, if there is one.
    pub fn admit(&mut self, account: &OrganisationConfig) -> Admission {
        let age = self.answered.map(Instant::elapsed);
        let is_alone = self.has_failed || age.is_none_or(|age| age > FALLBACK_AFTER);
        let slack = self.slack;
        let holding = self.holding(&account.name);
        if std::mem::take(&mut holding.is_new) {
            holding.start(account, slack);
        }
        holding.fill(account, is_alone);
        if holding.tokens >= 1.0 {
            holding.tokens -= 1.0;
            return Admission::Granted;
        }
        let is_denied = holding.denied.is_some_and(|until| !until.is_past());
        if is_alone || is_denied {
            return Admission::Refused(Refusal {
                fraction: holding.fraction,
                age,
            });
        }
        Admission::Wait
    }

    /// Counts an operation that waits for tokens.
    pub fn begin_wait(&mut self, organisation: &Organisation) {
        self.holding(organisation).waiting += 1;
    }

    /// Counts an operation that no longer waits.
    pub fn end_wait(&mut self, organisation: &Organisation) {
        let holding = self.holding(organisation);
        holding.waiting = holding.waiting.saturating_sub(1);
    }

    /// Returns whether some organisation's tokens are running low.
    pub fn is_running_low(&self) -> bool {
        self.holdings.values().any(Holding::is_low)
    }

    /// Returns what the coordinator should know.
    pub fn demands(&mut self, scope: DemandScope) -> Vec<Demand> {
        let mut demands = Vec::new();
        self.holdings.retain(|name, holding| {
            let is_over = holding.measured.elapsed() >= FORGET_AFTER;
            let is_due = match scope {
                DemandScope::All => true,
                DemandScope::Changed => holding.has_changed() || holding.is_urgent(),
                DemandScope::Urgent => holding.is_urgent(),
            };
            if is_over {
                demands.push(Demand {
                    organisation: name.clone(),
                    rate: 0.0,
                    waiting: 0,
                    prefetch: 0,
                    unused: 0.0,
                    fraction: 0.0,
                });
            } else if is_due {
                demands.push(holding.demand(name));
            }
            !is_over
        });
        demands
    }

    /// Notes that the coordinator did not answer, so that the host uses its
    /// fraction at once instead of refusing what waits for tokens.
    pub fn mark_disconnected(&mut self) {
        self.has_failed = true;
    }

    /// Takes over what the coordinator granted.
    pub fn apply(&mut self, grants: Vec<Grant>) {
        self.answered = Some(now());
        self.has_failed = false;
        for grant in grants {
            let holding = self.holding(&grant.organisation);
            let was_lacking = holding.needed() > 0;
            holding.tokens += f64::from(grant.tokens);
            holding.fraction = f64::from(grant.fraction).clamp(0.0, 1.0);
            let is_denied = was_lacking && grant.tokens == 0 && holding.tokens < 1.0;
            holding.denied = is_denied.then(|| now() + DENIAL_SPAN);
        }
    }

    fn holding(&mut self, organisation: &Organisation) -> &mut Holding {
        let fraction = if self.answered.is_none() {
            self.start
        } else {
            0.0
        };
        self.holdings
            .entry(organisation.clone())
            .or_insert_with(|| Holding {
                tokens: 0.0,
                is_new: fraction > 0.0,
                fraction,
                filled: now(),
                wanted: 0.0,
                measured: now(),
                waiting: 0,
                denied: None,
                told: None,
                is_used: false,
            })
    }
}

impl Holding {
    /// Gives a host that starts a token with the probability with which all
    /// hosts that start together stay within burst and slack.
    fn start(&mut self, account: &OrganisationConfig, slack: f64) {
        let part = account.burst * FALLBACK_BURST + slack * START_SLACK;
        let share = (self.fraction * part).min(1.0);
        let drawn = u32::try_from(random_range(0..u64::from(DRAWS))).unwrap_or(DRAWS);
        if f64::from(drawn) < share * f64::from(DRAWS) {
            self.tokens = 1.0;
        }
    }

    /// Fills by the host's fraction while the coordinator cannot be reached.
    fn fill(&mut self, account: &OrganisationConfig, is_alone: bool) {
        let span = self.filled.elapsed().as_secs_f64();
        self.filled = now();
        if is_alone {
            let burst = (self.fraction * account.burst * FALLBACK_BURST).max(1.0);
            let filled = (self.tokens + span * self.fraction * account.rate).min(burst);
            self.tokens = self.tokens.max(filled);
        }
    }

    /// Returns the moving average, which decays while nothing is asked for.
    fn wanted_now(&self) -> f64 {
        let spans = self.measured.elapsed().as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        self.wanted * (-spans).exp()
    }

    /// Returns the tokens that should be held.
    fn level(&self) -> f64 {
        let level = self.wanted_now() * HOLD_SPAN.as_secs_f64();
        if level < LEAST_LEVEL {
            0.0
        } else {
            level.ceil()
        }
    }

    /// Returns whether more should be asked for before the next report. An
    /// organisation that is used rarely can wait for it.
    fn is_low(&self) -> bool {
        let level = self.level();
        level >= LOW_LEVEL && self.tokens < level * LOW_PART
    }

    /// Returns whether the coordinator should be asked before the next report.
    fn is_urgent(&self) -> bool {
        self.waiting > 0 || self.is_low()
    }

    /// Returns whether the coordinator knows something else.
    fn has_changed(&self) -> bool {
        let has_decayed = |told: f64| told > 0.0 && self.wanted_now() < told * DECAY_PART;
        self.is_used || self.told.is_none_or(has_decayed)
    }

    /// Returns what to tell the coordinator.
    fn demand(&mut self, organisation: &Organisation) -> Demand {
        let wanted = self.wanted_now();
        let wanted = if wanted < LEAST_TOLD { 0.0 } else { wanted };
        self.told = Some(wanted);
        self.is_used = false;
        Demand {
            organisation: organisation.clone(),
            rate: to_single(wanted),
            waiting: self.needed(),
            prefetch: self.lack(),
            unused: to_single(self.tokens),
            fraction: to_single(self.fraction),
        }
    }

    /// Returns the tokens that operations wait for.
    fn needed(&self) -> u32 {
        let waiting = u32::try_from(self.waiting).map_or(0.0, f64::from);
        to_tokens((waiting - self.tokens).ceil())
    }

    /// Returns the tokens that are missing for operations to come.
    fn lack(&self) -> u32 {
        to_tokens((self.level() - self.tokens).ceil())
    }
}
