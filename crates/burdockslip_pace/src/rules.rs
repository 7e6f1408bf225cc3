//! Which groups are paced, and the budget of a cold member.

use std::time::Duration;

/// How long after its report was sent a host may use the permits of the reply.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(400);

/// The window over which the limit on cold members applies, with what passes between
/// the check of a permit and the sending of its statement.
const WINDOW: Duration = Duration::from_millis(1_050);

/// The fraction of the limit that may be granted at once.
const CAPACITY_FRACTION: f64 = 0.2;

/// How many statements a cold member may receive in a second from all hosts together, in
/// relation to the rate that its group configures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// The factor on the rate, in percent.
    pub percent: u32,
    /// The number of statements beyond it.
    pub slack: u32,
}

/// The rules for the members of a paced group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// The statements a second that a cold member can run, if it is configured.
    cold_rate: Option<f64>,
    /// The most statements that a cold member may get in a second, if that is limited.
    limit: Option<f64>,
}

/// A token bucket that keeps the statements to a cold member within its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// The permits granted in a second.
    pub rate: f64,
    /// The permits that may be granted at once.
    pub capacity: f64,
}

impl Rules {
    /// Returns the rules of a group with the configured `cold_rate`, in statements a
    /// second, or `None` if its members are not paced.
    ///
    /// This is the switch of the feature: it takes a limit in the settings of the hosts,
    /// or a rate in the configuration of the group.
    pub fn new(cold_rate: Option<f64>, limit: Option<ColdLimit>) -> Option<Self> {
        let cold_rate = cold_rate.filter(|rate| rate.is_finite() && *rate > 0.0);
        if cold_rate.is_none() && limit.is_none() {
            return None;
        }
        let statements = |limit: ColdLimit| {
            let factor = f64::from(limit.percent) / 100.0;
            cold_rate.unwrap_or_default() * factor + f64::from(limit.slack)
        };
        Some(Self {
            cold_rate,
            limit: limit.map(statements),
        })
    }

    /// Returns the statements a second that a cold member can run, if it is configured.
    pub const fn cold_rate(&self) -> Option<f64> {
        self.cold_rate
    }

    /// Returns the budget of a cold member, or `None` if it is not limited.
    ///
    /// A permit is used within [`PERMIT_LIFETIME`] of being granted. So the statements of
    /// a second were permitted within a second and this lifetime, for which the bucket
    /// never grants more than the limit.
    pub fn cold_budget(&self) -> Option<Budget> {
        let limit = self.limit?;
        let span = (WINDOW + PERMIT_LIFETIME).as_secs_f64();
        let least = (limit * CAPACITY_FRACTION).max(1.0);
        let most = ((limit - least) / span).max(0.0);
        let rate = self.cold_rate.map_or(most, |rate| rate.min(most));
        let capacity = limit - rate * span;
        // A bucket for less than one permit never grants any.
        Some(Budget { rate, capacity })
    }
}
