//! Messages about paced members between the hosts and the coordinator.

use std::time::Duration;

use burdockslip_types::MemberName;
use num_traits::ToPrimitive;
use serde::{Deserialize, Serialize};

/// The time constant of the moving average of demand, in seconds.
pub(crate) const DEMAND_WINDOW: f64 = 2.0;

/// A host's report on one paced member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberDemand {
    /// The member.
    pub member: MemberName,
    /// The start of its run, as the host knows it.
    pub born: u64,
    /// How much longer the host takes it for cold.
    pub cold: Duration,
    /// The statements a second that the host would send, as a moving average.
    pub rate: f32,
    /// The permits that statements are waiting for.
    pub waiting: u32,
    /// The permits that the host requests in advance.
    pub prefetch: u32,
    /// The statements answered since the last report.
    pub answered: u32,
    /// Those that were refused because the member was busy.
    pub busy: u32,
    /// Those that failed or were not answered.
    pub failed: u32,
    /// The mean latency of the answered ones, in milliseconds.
    pub latency: f32,
    /// The mean latency of the other members of the group, in milliseconds.
    pub peers: f32,
}

/// The coordinator's answer for one paced member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PaceGrant {
    /// The member.
    pub member: MemberName,
    /// The start of its run.
    pub born: u64,
    /// The permits for the host, one for each statement.
    pub permits: u32,
    /// Whether they are within the limit for cold members.
    pub is_limited: bool,
    /// The statements a second that all hosts may send together.
    pub rate: f32,
    /// The host's part of this rate.
    pub share: f32,
}

/// Converts to single precision for messages, which are billed by the byte.
pub(crate) fn to_single(value: f64) -> f32 {
    value.to_f32().unwrap_or_default()
}

/// Rounds down to a whole number; negative values become zero.
pub(crate) fn to_whole(value: f64) -> u32 {
    value.max(0.0).to_u32().unwrap_or(u32::MAX)
}

/// Reads a number of a message, which may come from a faulty host.
pub(crate) fn to_rate(value: f32) -> f64 {
    let value = f64::from(value);
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
