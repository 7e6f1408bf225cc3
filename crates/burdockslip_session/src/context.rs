//! The state that all sessions of a host share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Configuration, Directory, OrganisationConfig, Route};
use burdockslip_dispatch::HostPressure;
use burdockslip_failover::Permission;
use burdockslip_pace::{ColdLimit, Gate};
use burdockslip_runtime::{Instant, Signal, Task, now, timeout_at};
use burdockslip_shares::{Admission, Denials, LocalLimiter, Refusal};
use burdockslip_statement::Codec;
use burdockslip_telemetry::Metrics;
use burdockslip_types::{ErrorKind, GroupName, Organisation};
use burdockslip_upstream::{Pools, ReceiveBudget};
use tracing::info;

use crate::freshness::PositionHistory;
use crate::locality::Locality;
use crate::receipt::Receipts;
use crate::tokens::{Authority, Giver, Ruling, Token};
use crate::{Acknowledged, EvacuationBound, StateBudget};

/// How long an operation may wait for a token. The coordinator replies within a few
/// milliseconds.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(40);

/// The shortest wait for a token of the host's own fraction.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The limits of a host.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum number of concurrent client connections.
    pub sessions: usize,
    /// The memory for the values and prepared statements of all sessions, in bytes.
    pub state_bytes: usize,
    /// The memory for unfinished messages of all clients, in bytes.
    pub message_bytes: usize,
    /// The number of operations beyond rate and burst that all hosts together may
    /// admit for an organisation in a window.
    pub rate_slack: u32,
    /// How long after its request an availability zone may still receive statements that
    /// is to be evacuated.
    pub evacuation: Option<Duration>,
    /// The limit on statements to cold members; `None` if they are not limited.
    pub cold: Option<ColdLimit>,
    /// Whether statements are served by the priority of their routes where room is short.
    pub is_prioritised: bool,
}

/// The state that all sessions of a host share.
pub struct Context {
    /// Parses and serialises the messages of clients and members.
    pub codec: Codec,
    /// The configuration and the members.
    pub directory: Directory,
    /// The connection pools of the members.
    pub pools: Pools,
    /// The permission to use primaries.
    pub permission: Permission,
    /// Admits operations within the rates of their organisations.
    pub limiter: Rc<RefCell<LocalLimiter>>,
    /// Admits statements to members that are paced.
    pub gate: RefCell<Gate>,
    /// Notified when tokens are running low; wakes the task that reports demand.
    pub tokens_low: Rc<Signal>,
    /// Notified when tokens may have been granted; wakes operations that wait for them.
    pub tokens_granted: Rc<Signal>,
    /// Recent log positions of the primaries.
    pub positions: Rc<PositionHistory>,
    /// The metrics of the host.
    pub metrics: Metrics,
    /// The pressure on members and on this host.
    pub pressure: HostPressure,
    /// The limits of this host.
    pub limits: Limits,
    /// The place of this host among the availability zones and regions.
    pub locality: Locality,
    /// How long members of evacuated zones may be used.
    pub(crate) evacuation: EvacuationBound,
    /// The number of open client connections.
    pub open_sessions: Cell<usize>,
    /// The host that admits operations for this one.
    authority: RefCell<Option<Rc<Authority>>>,
    /// The organisations that are out of tokens at that host.
    denials: RefCell<Denials>,
    /// The memory for unfinished messages of all clients.
    pub(crate) receive_budget: Rc<ReceiveBudget>,
    /// The memory for the state of all sessions.
    pub(crate) budget: Rc<StateBudget>,
    /// The positions of commits that were acknowledged to clients.
    pub acknowledged: Acknowledged,
    /// What replicas have shown to hold, for groups with excluded members.
    pub(crate) receipts: Receipts,
    /// The running position queries, at most one for each group.
    pub(crate) refresh_tasks: RefCell<HashMap<GroupName, Task<()>>>,
}

impl Context {
    /// Creates the context of a host.
    pub fn new(
        codec: Codec,
        directory: Directory,
        pools: Pools,
        permission: Permission,
        metrics: Metrics,
        limits: Limits,
        locality: Locality,
    ) -> Self {
        Self {
            codec,
            directory,
            pools,
            permission,
            limiter: Rc::new(RefCell::new(LocalLimiter::new(limits.rate_slack))),
            gate: RefCell::default(),
            tokens_low: Rc::default(),
            tokens_granted: Rc::default(),
            positions: Rc::default(),
            metrics,
            pressure: HostPressure::new(limits.is_prioritised),
            limits,
            locality,
            evacuation: EvacuationBound::new(limits.evacuation),
            open_sessions: Cell::new(0),
            authority: RefCell::default(),
            denials: RefCell::default(),
            receive_budget: Rc::new(ReceiveBudget::new(limits.message_bytes)),
            budget: Rc::new(StateBudget::new(limits.state_bytes)),
            acknowledged: Acknowledged::default(),
            receipts: Receipts::default(),
            refresh_tasks: RefCell::default(),
        }
    }

    /// Returns the configuration if it is recent enough to authorise requests.
    ///
    /// # Errors
    ///
    /// Returns `ConfigMissing` if there is no configuration or it was confirmed too
    /// long ago.
    pub(crate) fn current_configuration(&self) -> Result<Rc<Configuration>, ErrorKind> {
        let configuration = self.directory.configuration();
        configuration
            .filter(|_| self.directory.is_configuration_current())
            .ok_or(ErrorKind::ConfigMissing)
    }

    /// Sets the host that admits operations for this one.
    pub fn set_authority(&self, authority: Authority) {
        *self.authority.borrow_mut() = Some(Rc::new(authority));
    }

    /// Takes a token of the organisation for an operation, waiting a short time if
    /// necessary. Returns `None` if no rate limit applies.
    ///
    /// # Errors
    ///
    /// Returns `RateExceeded` if no token becomes available, and `ConfigMissing` if
    /// there is no current configuration, or if this host may not use its share any more.
    pub(crate) async fn admit(
        &self,
        organisation: &Organisation,
        id: &str,
    ) -> Result<Option<Token>, ErrorKind> {
        let configuration = self.current_configuration()?;
        // Clients of open routes without a key belong to no configured organisation, so
        // no rate limit applies to them.
        let Some(config) = configuration.organisations.get(organisation) else {
            return Ok(None);
        };
        let token = |giver| Some(Token::new(organisation.clone(), giver));
        match self.admit_remotely(organisation).await {
            Some(Ruling::Admitted(host)) => return Ok(token(Giver::Relay(host))),
            Some(Ruling::Refused(span)) => {
                info!(id, %organisation, span_ms = span.as_millis(), version = configuration.version,
                    "operation refused by the host that holds the zone's tokens");
                self.metrics.count_rate_refusal("relay");
                return Err(ErrorKind::RateExceeded);
            }
            None => {}
        }
        if !self.holds_share() {
            info!(id, %organisation, version = configuration.version,
                "operation refused, host is cut off");
            self.metrics.count_rate_refusal("cut_off");
            return Err(ErrorKind::ConfigMissing);
        }
        match self.admit_locally(config).await {
            Ok(()) => Ok(token(Giver::Own)),
            Err(refusal) => {
                info!(id, %organisation, ?refusal, version = configuration.version,
                    "operation refused, rate exceeded");
                self.metrics.count_rate_refusal("own");
                Err(ErrorKind::RateExceeded)
            }
        }
    }

    /// Gives a token back whose operation was not sent to a member.
    pub(crate) fn give_back(&self, token: Option<Token>) {
        let Some(token) = token.filter(Token::is_returnable) else {
            return;
        };
        self.metrics.count_token_returned();
        match token.giver {
            Giver::Own => self.take_back(&token.organisation, 1),
            Giver::Relay(host) => {
                let authority = self.authority.borrow().clone();
                if let Some(authority) = authority {
                    (authority.give_back)(host, token.organisation);
                }
            }
        }
    }

    /// Takes tokens back that this host gave to operations of its own or of other hosts.
    pub fn take_back(&self, organisation: &Organisation, tokens: u32) {
        let Some(configuration) = self.directory.configuration() else {
            return;
        };
        if let Some(config) = configuration.organisations.get(organisation) {
            self.limiter.borrow_mut().give_back(config, tokens);
            self.tokens_granted.notify();
        }
    }

    async fn admit_remotely(&self, organisation: &Organisation) -> Option<Ruling> {
        // A restarted host has an initial share of each rate until the coordinator
        // answers it.
        if !self.limiter.borrow().has_answer() {
            return None;
        }
        if self.denials.borrow_mut().refuse(organisation) {
            return Some(Ruling::Refused(Duration::ZERO));
        }
        let authority = self.authority.borrow().clone()?;
        let refused = self.denials.borrow_mut().take_refused(organisation);
        let ruling = (authority.admit)(organisation.clone(), refused).await;
        if let Some(Ruling::Refused(span)) = ruling {
            self.denials.borrow_mut().record(organisation, span);
        }
        ruling
    }

    /// Admits an operation of another host with the tokens of this one, after that host has
    /// `refused` others by itself. Fails with the time for which the organisation is out of
    /// tokens.
    ///
    /// # Errors
    ///
    /// Returns `ConfigMissing` if there is no current configuration or this host may not
    /// use its share any more, and `NoFreshData` if the configuration does not contain the
    /// organisation, which the peer's does.
    pub async fn admit_for_peer(
        &self,
        organisation: &Organisation,
        refused: u32,
    ) -> Result<Result<(), Duration>, ErrorKind> {
        let configuration = self.current_configuration()?;
        let Some(config) = configuration.organisations.get(organisation) else {
            return Err(ErrorKind::NoFreshData);
        };
        if !self.holds_share() {
            return Err(ErrorKind::ConfigMissing);
        }
        if refused > 0 {
            let mut limiter = self.limiter.borrow_mut();
            limiter.record_demands(organisation, refused);
        }
        let outcome = self.admit_locally(config).await;
        Ok(outcome.map_err(|_| self.limiter.borrow_mut().denied_for(config)))
    }

    /// Returns whether this host may use its tokens and its fractions of the rates. The
    /// coordinator gives them to others some seconds after it has last heard this host.
    pub fn holds_share(&self) -> bool {
        let store_age = self.directory.contact_age();
        self.limiter.borrow().holds_share(store_age)
    }

    /// Takes a token of this host, waiting a short time if necessary. Fails with the
    /// host's state, which is `None` if the coordinator granted none in time.
    async fn admit_locally(&self, config: &OrganisationConfig) -> Result<(), Option<Refusal>> {
        self.limiter.borrow_mut().record_demand(&config.name);
        let deadline = now() + TOKEN_TIMEOUT;
        loop {
            let seen = self.tokens_granted.epoch();
            let admission = self.limiter.borrow_mut().admit(config);
            let refusal = match admission {
                Admission::Granted => {
                    if self.limiter.borrow().is_running_low() {
                        self.tokens_low.notify();
                    }
                    return Ok(());
                }
                Admission::Wait => None,
                Admission::Refused(refusal) => Some(refusal),
            };
            if refusal.is_some() || deadline.is_past() {
                return Err(refusal);
            }
            let next = self.limiter.borrow_mut().next_token(config);
            let until = next.map_or(deadline, |span| deadline.min(now() + span.max(MIN_WAIT)));
            self.wait_for_tokens(&config.name, seen, until).await;
        }
    }

    async fn wait_for_tokens(&self, organisation: &Organisation, seen: u64, deadline: Instant) {
        self.limiter.borrow_mut().begin_wait(organisation);
        self.tokens_low.notify();
        // The caller checks the deadline after the next attempt to take a token.
        let _ = timeout_at(deadline, self.tokens_granted.changed(seen)).await;
        self.limiter.borrow_mut().end_wait(organisation);
    }
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Context")
    }
}

/// Returns how long an operation may wait for a member and a connection before it is
/// refused.
///
/// A refusal after a quarter of the latency objective is too late for the client to
/// retry at another host.
pub(crate) fn wait_limit(route: &Route) -> Duration {
    route.latency_objective.mul_f64(0.23)
}
