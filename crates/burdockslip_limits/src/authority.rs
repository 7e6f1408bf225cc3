//! Grants tokens and lends rate for the shards that this host has authority over.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now, random_u64, spawn};
use burdockslip_store::Store;
use burdockslip_types::{Organisation, PeerClient};

use crate::account::{Account, OutgoingLoan};
use crate::ownership::{OwnedShard, Ownership};
use crate::{Envelope, FleetView, RateExchange, Reply, Request, Settings, Shard, Tokens};
use crate::{handover, lease, loans};

/// The token server of one host, which claims the shards for which the host is ranked first in its
/// zone.
///
/// Dropping it stops its tasks without releasing the lease, as a crash would;
/// use [`Authority::drain`] to hand over the shards.
#[derive(Debug)]
pub struct Authority {
    shared: Rc<Shared>,
    tasks: RefCell<Vec<Task<()>>>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) fleet: FleetView,
    pub(crate) settings: Settings,
    pub(crate) store: Store,
    pub(crate) peers: PeerClient<RateExchange>,
    pub(crate) state: RefCell<Ownership>,
    /// The earliest time of a claim: pledges given before a restart are not stored, and must have
    /// expired by then.
    pub(crate) claim_start: Instant,
    /// A random number that distinguishes this run of the host in the records of the store.
    pub(crate) run_id: u64,
    pub(crate) is_draining: Cell<bool>,
    /// When the store last answered.
    pub(crate) store_answered: Cell<Instant>,
}

impl Authority {
    /// Starts the tasks that claim shards, renew the lease, collect pledges and take loans.
    pub fn spawn(
        fleet: FleetView,
        settings: Settings,
        store: Store,
        peers: PeerClient<RateExchange>,
    ) -> Self {
        let shared = Rc::new(Shared {
            claim_start: now() + settings.pledge_ttl,
            fleet,
            settings,
            store,
            peers,
            state: RefCell::default(),
            run_id: random_u64(),
            is_draining: Cell::new(false),
            store_answered: Cell::new(Instant::START),
        });
        let tasks = vec![
            spawn(lease::run_claims(Rc::clone(&shared))),
            spawn(lease::run_pledges(Rc::clone(&shared))),
            spawn(loans::run_loans(Rc::clone(&shared))),
        ];
        Self {
            shared,
            tasks: RefCell::new(tasks),
        }
    }

    /// Answers a request of another host or of this host's own limiter.
    ///
    /// A reply may be delayed on its way without harm, because the requester
    /// counts the time to live from before it sent the request.
    pub fn handle(&self, envelope: Envelope) -> Reply {
        match envelope.request {
            Request::Grant {
                organisation,
                wanted,
                arrived,
            } => self.shared.grant(&organisation, wanted, arrived),
            Request::Borrow {
                organisation,
                zone,
                rate,
                ttl,
                sequence,
            } => {
                let loan = OutgoingLoan {
                    zone,
                    host: envelope.from,
                    sequence,
                    rate,
                    end: now() + ttl.min(self.shared.settings.loan_ttl),
                };
                self.shared.lend(&organisation, loan)
            }
            Request::Pledge { shard, ttl } => {
                let ttl = ttl.min(self.shared.settings.pledge_ttl);
                let mut state = self.shared.state.borrow_mut();
                Reply::Pledged(state.pledge(shard, now() + ttl, now()))
            }
            Request::Offer(shard) => Reply::Accepted(self.shared.accepts_shard(shard)),
            Request::HandOver {
                shard,
                revision,
                levels,
            } => {
                let is_accepted = self.shared.accepts_shard(shard);
                if is_accepted {
                    let shared = Rc::clone(&self.shared);
                    spawn(handover::accept_handover(shared, shard, revision, levels)).detach();
                }
                Reply::Accepted(is_accepted)
            }
        }
    }

    /// Returns the shards for which this host grants tokens now.
    pub fn shards(&self) -> Vec<Shard> {
        let state = self.shared.state.borrow();
        let is_valid = |shard: &Shard| state.owned_until(*shard).is_some_and(|end| !end.is_past());
        let granting = state.owned.iter().filter(|(_, owned)| !owned.is_stopped);
        let shards = granting.map(|(shard, _)| *shard);
        shards.filter(is_valid).collect()
    }

    /// Hands over all shards with their buckets and releases the lease.
    ///
    /// Waits until all loans to other zones have ended, because the next
    /// authority has no record of them.
    pub async fn drain(&self) {
        self.shared.is_draining.set(true);
        handover::hand_over_all(&self.shared).await;
        self.tasks.take();
        lease::release_lease(&self.shared).await;
    }
}

impl Shared {
    fn grant(&self, organisation: &Organisation, wanted: Tokens, arrived: Tokens) -> Reply {
        let ttl = self.token_ttl(organisation);
        let granted = self.with_account(organisation, |account, _| {
            account.grant(wanted, arrived, now())
        });
        match granted {
            Some((count, retry_after)) => Reply::Granted {
                count,
                ttl,
                retry_after,
            },
            None => Reply::NotOwner,
        }
    }

    /// Lends rate to another zone, at most until this host's authority ends.
    ///
    /// The next authority starts with the full rate and has no record of the
    /// loans of this one, so a loan must not outlive the authority.
    fn lend(&self, organisation: &Organisation, wanted: OutgoingLoan) -> Reply {
        let shard = self.settings.shard(organisation);
        let is_leaving = |owned: &OwnedShard| owned.is_leaving;
        let state = self.state.borrow();
        if state.owned.get(&shard).is_some_and(is_leaving) {
            return Reply::NotOwner;
        }
        drop(state);
        let lent = self.with_account(organisation, |account, end| {
            let end = wanted.end.min(end);
            (
                account.lend(OutgoingLoan { end, ..wanted }, now()),
                end.remaining(),
            )
        });
        match lent {
            Some((rate, ttl)) => Reply::Lent { rate, ttl },
            None => Reply::NotOwner,
        }
    }

    /// Calls `f` with an account and the end of this host's authority over it.
    ///
    /// Returns `None` if this host has no authority over the shard, has handed
    /// it over, or finds no limit for the organisation.
    pub(crate) fn with_account<T>(
        &self,
        organisation: &Organisation,
        f: impl FnOnce(&mut Account, Instant) -> T,
    ) -> Option<T> {
        let now = now();
        let part = self.fleet.zone_part(organisation)?;
        let ttl = self.token_ttl(organisation);
        let shard = self.settings.shard(organisation);
        let mut state = self.state.borrow_mut();
        let end = state.owned_until(shard)?;
        let owned = state.owned_shard(shard, now)?;
        if owned.is_stopped {
            return None;
        }
        let since = owned.owned_since;
        let account = owned
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account::new(part, ttl, since));
        account.set_limit(part, ttl, now);
        Some(f(account, end))
    }

    /// Returns the time to live of granted tokens.
    ///
    /// It follows from the whole limit, so that it is the same in all zones.
    fn token_ttl(&self, organisation: &Organisation) -> Duration {
        let limit = (self.fleet.limit_of)(organisation).unwrap_or_default();
        limit.token_ttl(self.settings.token_ttl)
    }
}
