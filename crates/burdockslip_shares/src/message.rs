//! Messages about rates between the hosts and the coordinator.

use burdockslip_types::Organisation;
use num_traits::ToPrimitive;
use serde::{Deserialize, Serialize};

/// A host's report on one organisation: its demand and what it already holds of the rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The organisation.
    pub organisation: Organisation,
    /// The operations per second that clients requested, as a moving average.
    pub rate: f32,
    /// The tokens that operations are waiting for.
    pub waiting: u32,
    /// The tokens that the host requests in advance, for expected operations.
    pub prefetch: u32,
    /// The granted tokens that the host has not used yet.
    pub unused: f32,
    /// The fraction of the rate, from 0 to 1, that the host uses while the
    /// coordinator is unreachable.
    pub fraction: f32,
}

impl Demand {
    /// Returns whether the host has neither demand nor tokens nor a fraction left.
    pub const fn is_empty(&self) -> bool {
        self.rate <= 0.0 && self.unused <= 0.0 && self.fraction <= 0.0 && self.waiting == 0
    }
}

/// The coordinator's answer to a [`Demand`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: Organisation,
    /// The newly granted tokens, one per operation.
    pub tokens: u32,
    /// The fraction of the rate, from 0 to 1, that the host may use while the
    /// coordinator is unreachable. It replaces the fraction granted before.
    pub fraction: f32,
}

/// Converts to single precision for messages: hosts report often, and traffic
/// between availability zones is billed by the byte.
pub(crate) fn to_single(value: f64) -> f32 {
    value.to_f32().unwrap_or_default()
}

/// Rounds down to whole tokens; negative values become zero.
pub(crate) fn to_tokens(value: f64) -> u32 {
    value.max(0.0).to_u32().unwrap_or(u32::MAX)
}
