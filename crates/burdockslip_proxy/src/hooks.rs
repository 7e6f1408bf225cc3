//! Holds the decisions that other parts of a host make for its endpoint.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_limits::{Permit, Tokens};
use burdockslip_runtime::Instant;
use burdockslip_types::{ClassName, ErrorKind, Organisation, Result};
use futures::FutureExt;
use futures::future::LocalBoxFuture;

/// Waits for a request's share of its organisation's rate, until a deadline.
pub type Admit = dyn Fn(Organisation, Instant) -> LocalBoxFuture<'static, Result<Permit>>;
/// Returns how long ago the configuration was last known to be current.
pub type ConfigAge = dyn Fn() -> Duration;
/// Returns whether the host knows a configuration at all.
pub type IsReady = dyn Fn() -> bool;
/// Takes note of the end of a request and of its latency.
pub type RecordRequest = dyn Fn(&Organisation, &ClassName, Result<(), ErrorKind>, Duration);

/// Holds the decisions that other parts of a host make for its endpoint.
#[derive(Clone)]
pub struct Hooks {
    /// Tells whether clients are accepted.
    pub is_ready: Rc<IsReady>,
    /// Admits a request or rejects it as not run.
    pub admit: Rc<Admit>,
    /// Tells the age of the configuration.
    pub config_age: Rc<ConfigAge>,
    /// Records finished requests.
    pub record_request: Rc<RecordRequest>,
}

impl Default for Hooks {
    /// Admits everything and records nothing, for tests of other parts.
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
