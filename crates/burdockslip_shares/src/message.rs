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
    /// The tokens for operations that wait.
    pub waiting: f64,
    /// The tokens that the host would like to hold for operations to come.
    pub hold: f64,
    /// The tokens that the host has not used yet.
    pub kept: f64,
    /// The fraction of the rate that the host may use without the coordinator.
    pub held: f64,
}

/// Tells a host what it may use of an organisation's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: Organisation,
    /// The tokens handed out, each good for one operation.
    pub tokens: f64,
    /// The fraction of the rate that the host may use without the coordinator.
    pub fraction: f64,
}
