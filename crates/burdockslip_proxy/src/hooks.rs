//! Callbacks through which the other parts of a host decide for its endpoint.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_limits::{Permit, Tokens};
use burdockslip_runtime::Instant;
use burdockslip_types::{ClassName, ErrorKind, Organisation, Result};
use futures::FutureExt;
use futures::future::LocalBoxFuture;

/// Waits until a deadline for a permit within an organisation's rate.
pub type Admit = dyn Fn(Organisation, Instant) -> LocalBoxFuture<'static, Result<Permit>>;
/// Returns how long ago the configuration was last confirmed as current.
pub type ConfigAge = dyn Fn() -> Duration;
/// Returns whether the host has loaded a configuration.
pub type IsReady = dyn Fn() -> bool;
/// Records the result of a finished request and its latency.
pub type RecordRequest = dyn Fn(&Organisation, &ClassName, Result<(), ErrorKind>, Duration);

/// Callbacks through which the other parts of a host decide for its endpoint.
#[derive(Clone)]
pub struct Hooks {
    /// Returns whether clients are accepted; others are refused with `ConfigMissing`.
    pub is_ready: Rc<IsReady>,
    /// Admits a request within the rate of its organisation, or rejects it before it runs.
    pub admit: Rc<Admit>,
    /// Returns the age of the configuration, which a class may limit.
    pub config_age: Rc<ConfigAge>,
    /// Records finished requests, for metrics.
    pub record_request: Rc<RecordRequest>,
}

impl Default for Hooks {
    /// Returns hooks that admit all requests and record nothing, for tests and measurements.
    fn default() -> Self {
        Self {
            is_ready: Rc::new(|| true),
            admit: Rc::new(|_, deadline| {
                let permit = Permit {
                    cost: Tokens::ONE,
                    expiry: deadline,
                };
                async move { Ok(permit) }.boxed_local()
            }),
            config_age: Rc::new(|| Duration::ZERO),
            record_request: Rc::new(|_, _, _, _| {}),
        }
    }
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hooks")
    }
}
