//! Defines what hosts and the coordinator tell each other about rates.

use burdockslip_types::Organisation;
use serde::{Deserialize, Serialize};

/// Tells the coordinator what a host holds and wants of one organisation's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The organisation.
    pub organisation: Organisation,
    /// The operations a second that clients asked for lately.
    pub wanted: f64,
    /// The fraction of the rate that the host holds.
    pub held: f64,
}

/// Tells a host the fraction of an organisation's rate that it now holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: Organisation,
    /// The fraction of the rate and the burst.
    pub fraction: f64,
}
