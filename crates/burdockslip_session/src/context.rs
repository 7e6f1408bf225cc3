//! Holds what all sessions of a host share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Configuration, Directory, Route};
use burdockslip_failover::Permission;
use burdockslip_runtime::{Instant, Signal, Task, now, timeout_at};
use burdockslip_shares::{Admission, LocalLimiter};
use burdockslip_statement::Codec;
use burdockslip_telemetry::Metrics;
use burdockslip_types::{ErrorKind, GroupName, Organisation, Zone};
use burdockslip_upstream::Pools;
use tracing::info;

use crate::freshness::PositionHistory;

/// How long an operation may wait for a token; the coordinator answers within
/// a few milliseconds.
const TOKEN_WAIT: Duration = Duration::from_millis(40);

/// Holds the limits of a host.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Client connections that may be open at once.
    pub sessions: usize,
    /// Operations of an organisation beyond rate and burst that all hosts may
    /// admit together in a window.
    pub rate_slack: u32,
}

/// Holds what all sessions of a host share.
pub struct Context {
    /// Translates messages.
    pub codec: Codec,
    /// Knows the configuration and the members.
    pub directory: Directory,
    /// Keeps connections to members.
    pub pools: Pools,
    /// Decides whether primaries may be used.
    pub permission: Permission,
    /// Admits operations within the rates.
    pub rates: Rc<RefCell<LocalLimiter>>,
    /// Wakes the task that reports demand, because tokens are running low.
    pub tokens_low: Rc<Signal>,
    /// Wakes operations that wait for tokens.
    pub tokens_granted: Rc<Signal>,
    /// Knows positions of the groups' logs.
    pub positions: Rc<PositionHistory>,
    /// Counts and measures requests.
    pub metrics: Metrics,
    /// The limits of this host.
    pub limits: Limits,
    /// The availability zone of this host.
    pub zone: Zone,
    /// The open client connections.
    pub open_sessions: Cell<usize>,
    pub(crate) refreshing: RefCell<HashMap<GroupName, Task<()>>>,
}

impl Context {
    /// Builds the context of a host.
    pub fn new(
        codec: Codec,
        directory: Directory,
        pools: Pools,
        permission: Permission,
        metrics: Metrics,
        limits: Limits,
        zone: Zone,
    ) -> Self {
        Self {
            codec,
            directory,
            pools,
            permission,
            rates: Rc::new(RefCell::new(LocalLimiter::new(limits.rate_slack))),
            tokens_low: Rc::default(),
            tokens_granted: Rc::default(),
            positions: Rc::default(),
            metrics,
            limits,
            zone,
            open_sessions: Cell::new(0),
            refreshing: RefCell::default(),
        }
    }

    /// Returns the configuration if it is recent enough to authorise requests.
    ///
    /// # Errors
    ///
    /// Returns `ConfigMissing` if there is none, or it was confirmed too long ago.
    pub(crate) fn current(&self) -> Result<Rc<Configuration>, ErrorKind> {
        let configuration = self.directory.configuration();
        configuration
            .filter(|_| self.directory.is_configuration_current())
            .ok_or(ErrorKind::ConfigMissing)
    }

    /// Charges an operation to its organisation.
    ///
    /// # Errors
    ///
    /// Returns `RateExceeded` if the organisation's rate is used up.
    pub(crate) async fn admit(
        &self,
        organisation: &Organisation,
        id: &str,
    ) -> Result<(), ErrorKind> {
        let configuration = self.current()?;
        // A caller of an open route has no account and no limit.
        let Some(account) = configuration.organisations.get(organisation) else {
            return Ok(());
        };
        self.rates.borrow_mut().record_demand(organisation);
        let until = now() + TOKEN_WAIT;
        loop {
            let seen = self.tokens_granted.epoch();
            let admission = self.rates.borrow_mut().admit(account);
            let refusal = match admission {
                Admission::Granted => {
                    if self.rates.borrow().is_running_low() {
                        self.tokens_low.notify();
                    }
                    return Ok(());
                }
                Admission::Wait => None,
                Admission::Refused(refusal) => Some(refusal),
            };
            if refusal.is_some() || until.is_past() {
                info!(id, %organisation, ?refusal, version = configuration.version,
                    "operation refused, rate exceeded");
                return Err(ErrorKind::RateExceeded);
            }
            self.wait_for_tokens(organisation, seen, until).await;
        }
    }

    async fn wait_for_tokens(&self, organisation: &Organisation, seen: u64, until: Instant) {
        self.rates.borrow_mut().begin_wait(organisation);
        self.tokens_low.notify();
        // Time running out shows in the next look at the tokens.
        let _ = timeout_at(until, self.tokens_granted.changed(seen)).await;
        self.rates.borrow_mut().end_wait(organisation);
    }
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Context")
    }
}

/// Returns how long an operation may wait for a place before it is refused.
///
/// A refusal after a quarter of the objective comes too late for the caller to
/// try elsewhere.
pub(crate) fn patience(route: &Route) -> Duration {
    route.latency_objective.mul_f64(0.23)
}
