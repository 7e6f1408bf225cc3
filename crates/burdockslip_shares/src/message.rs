//! Defines what hosts and the coordinator tell each other about rates.

use burdockslip_types::Organisation;
use num_traits::ToPrimitive;
use serde::{Deserialize, Serialize};

/// Tells the coordinator what a host holds and wants of one organisation's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The organisation.
    pub organisation: Organisation,
    /// The operations a second that clients asked for lately.
    pub rate: f32,
    /// The tokens for operations that wait.
    pub waiting: u32,
    /// The tokens that the host would like to hold for operations to come.
    pub prefetch: u32,
    /// The tokens that the host has not used yet.
    pub unused: f32,
    /// The fraction of the rate that the host may use without the coordinator.
    pub fraction: f32,
}

impl Demand {
    /// Returns whether the host uses the organisation no longer.
    pub const fn is_empty(&self) -> bool {
        self.rate <= 0.0 && self.unused <= 0.0 && self.fraction <= 0.0 && self.waiting == 0
    }
}

/// Tells a host what it may use of an organisation's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: Organisation,
    /// The tokens handed out, each good for one operation.
    pub tokens: u32,
    /// The fraction of the rate that the host may use without the coordinator.
    pub fraction: f32,
}

/// Shortens a number for a message; hosts report often, and the bytes between
/// availability zones are charged.
pub(crate) fn to_single(value: f64) -> f32 {
    value.to_f32().unwrap_or_default()
}

/// Returns the whole tokens in `value`.
pub(crate) fn to_tokens(value: f64) -> u32 {
    value.max(0.0).to_u32().unwrap_or(u32::MAX)
}
