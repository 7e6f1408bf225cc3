//! Chooses the relay of an availability zone in a large fleet.
//!
//! The relay receives the changes of the store from the coordinator and forwards them
//! to the other hosts of its zone, so that a change does not occupy the coordinator's
//! link for all hosts. It also holds the zone's tokens of the organisations' rates.
//! See `docs/platform.md`, "Relays".

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use burdockslip_failover::Registration;
use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Zone};

/// The size of a fleet up to which all hosts follow the coordinator directly.
const MAX_DIRECT_HOSTS: usize = 40;

/// The age from which changes of a peer are rejected. A relay that is itself cut off, or
/// a coordinator whose watch is silent, would otherwise keep others on an old state. The
/// coordinator's state is up to 0.7 s old, and each relay adds the second that a request
/// may wait.
pub const MAX_RELAYED_AGE: Duration = Duration::from_secs(3);

/// The part of a host's link that replies with changes may occupy, so that tokens and
/// proofs are not queued behind them.
const LINK_FRACTION: f64 = 0.5;

/// Chooses the relay of a host.
#[derive(Debug)]
pub struct Relays {
    host: HostId,
    zone: Zone,
    avoid_span: Duration,
    avoided: RefCell<HashMap<HostId, Instant>>,
}

impl Relays {
    /// Creates the choice of `host`, which is in `zone`. A relay that failed is not
    /// asked again for `avoid_span`.
    pub fn new(host: HostId, zone: Zone, avoid_span: Duration) -> Self {
        Self {
            host,
            zone,
            avoid_span,
            avoided: RefCell::default(),
        }
    }

    /// Returns the relay among the registered hosts, or `None` if this host needs
    /// none.
    ///
    /// The relay is the host of the availability zone with the most processor time
    /// that has not failed lately. The coordinator, which has enough to do, relays
    /// nothing.
    pub fn choose(
        &self,
        hosts: &[(HostId, Registration)],
        coordinator: Option<&HostId>,
    ) -> Option<HostId> {
        if hosts.len() <= MAX_DIRECT_HOSTS {
            return None;
        }
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| !until.is_past());
        let (relay, _) = hosts
            .iter()
            .filter(|(host, registration)| {
                registration.zone == self.zone
                    && Some(host) != coordinator
                    && !avoided.contains_key(host)
            })
            .max_by_key(|(host, registration)| (registration.capacity, host))?;
        (*relay != self.host).then(|| relay.clone())
    }

    /// Excludes a relay for some time, because it did not answer or is behind.
    pub fn avoid(&self, relay: HostId) {
        let until = now() + self.avoid_span;
        self.avoided.borrow_mut().insert(relay, until);
    }
}

/// Spreads large replies over time, so that they occupy only a part of the link.
#[derive(Debug)]
pub struct SendBudget {
    bytes_per_second: f64,
    /// When the replies that were already started have left the link.
    free_at: Cell<Instant>,
}

impl SendBudget {
    /// Creates the budget of a host whose link carries `link` megabits per second.
    pub const fn new(link: f64) -> Self {
        Self {
            bytes_per_second: link * 1e6 / 8.0 * LINK_FRACTION,
            free_at: Cell::new(Instant::START),
        }
    }

    /// Reserves the link for a reply of `bytes` and returns when it may be sent.
    pub fn reserve(&self, bytes: usize) -> Instant {
        let start = self.free_at.get().max(now());
        let bytes = u32::try_from(bytes).map_or(f64::MAX, f64::from);
        let span = Duration::try_from_secs_f64(bytes / self.bytes_per_second);
        self.free_at.set(start + span.unwrap_or_default());
        start
    }
}
