//! Grants tokens and loans for the shards that this host has authority over.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now, random_u64, spawn};
use burdockslip_store::Store;
use burdockslip_types::{Organisation, PeerClient};

use crate::account::{Account, Loan};
use crate::ownership::{Owned, Ownership};
use crate::{Envelope, FleetView, RateExchange, Reply, Request, Settings, Shard, Tokens};
use crate::{handover, lease, loans};

/// Holds the authority of one host over the shards for which it is ranked first in its zone.
///
/// Dropping it stops its tasks without giving up the lease, like a crash;
/// [`Authority::drain`] hands over.
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
    pub(crate) link: PeerClient<RateExchange>,
    pub(crate) state: RefCell<Ownership>,
    /// When the host may claim: it does not remember the pledges of an earlier run.
    pub(crate) ready: Instant,
    /// Distinguishes this run of the host in the store's records.
    pub(crate) run: u64,
    pub(crate) is_draining: Cell<bool>,
    /// When the store last answered.
    pub(crate) answered: Cell<Instant>,
}

impl Authority {
    /// Starts the tasks that claim shards, renew the lease and take loans.
    pub fn spawn(
        fleet: FleetView,
        settings: Settings,
        store: Store,
        link: PeerClient<RateExchange>,
    ) -> Self {
        let shared = Rc::new(Shared {
            ready: now() + settings.pledge_ttl,
            fleet,
            settings,
            store,
            link,
            state: RefCell::default(),
            run: random_u64(),
            is_draining: Cell::new(false),
            answered: Cell::new(Instant::START),
        });
        let tasks = vec![
            spawn(lease::keep_store(Rc::clone(&shared))),
            spawn(lease::keep_pledges(Rc::clone(&shared))),
            spawn(loans::keep_loans(Rc::clone(&shared))),
        ];
        Self {
            shared,
            tasks: RefCell::new(tasks),
        }
    }

    /// Answers a request of another host or of this host's own limiter.
    ///
    /// The answer is decided at one reading of the clock. A reply that is
    /// delayed afterwards is harmless, because its life counts from before
    /// the request was sent.
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
                let loan = Loan {
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
            Request::Offer(shard) => Reply::Accepted(self.shared.accepts(shard)),
            Request::HandOver {
                shard,
                revision,
                levels,
            } => {
                let is_accepted = self.shared.accepts(shard);
                if is_accepted {
                    let shared = Rc::clone(&self.shared);
                    spawn(handover::take_over(shared, shard, revision, levels)).detach();
                }
                Reply::Accepted(is_accepted)
            }
        }
    }

    /// Lists the shards for which this host grants tokens now.
    pub fn shards(&self) -> Vec<Shard> {
        let state = self.shared.state.borrow();
        let is_valid = |shard: &Shard| state.end(*shard).is_some_and(|end| !end.is_past());
        let granting = state.owned.iter().filter(|(_, owned)| !owned.is_stopped);
        let shards = granting.map(|(shard, _)| *shard);
        shards.filter(is_valid).collect()
    }

    /// Hands over all shards with their buckets and gives up the lease.
    ///
    /// Loans must end first, because the next owner does not know them.
    pub async fn drain(&self) {
        self.shared.is_draining.set(true);
        handover::leave_all(&self.shared).await;
        self.tasks.take();
        lease::give_up(&self.shared).await;
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

    /// Lends to another zone, at most until this authority ends.
    ///
    /// The next owner starts with the full rate and does not know the loans
    /// of this one, so no loan may outlive the authority.
    fn lend(&self, organisation: &Organisation, wanted: Loan) -> Reply {
        let shard = self.settings.shard(organisation);
        let is_leaving = |owned: &Owned| owned.is_leaving;
        let state = self.state.borrow();
        if state.owned.get(&shard).is_some_and(is_leaving) {
            return Reply::NotOwner;
        }
        drop(state);
        let lent = self.with_account(organisation, |account, end| {
            let end = wanted.end.min(end);
            (account.lend(Loan { end, ..wanted }, now()), end.remaining())
        });
        match lent {
            Some((rate, ttl)) => Reply::Lent { rate, ttl },
            None => Reply::NotOwner,
        }
    }

    /// Runs `f` on an account if this host has authority over it now, with the end of the authority.
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
        let end = state.end(shard)?;
        let owned = state.valid(shard, now)?;
        if owned.is_stopped {
            return None;
        }
        let since = owned.since;
        let account = owned
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account::new(part, ttl, since));
        account.set_limit(part, ttl, now);
        Some(f(account, end))
    }

    /// Returns the life of tokens, the same in all zones because it follows from the whole limit.
    fn token_ttl(&self, organisation: &Organisation) -> Duration {
        let limit = (self.fleet.limit_of)(organisation).unwrap_or_default();
        limit.token_ttl(self.settings.token_ttl)
    }
}
