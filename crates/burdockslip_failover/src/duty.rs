//! Elects the host that holds the duty to promote.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_runtime::{Instant, Signal, Task, now, random_range, sleep, sleep_until, spawn};
use burdockslip_store::{Compare, LeaseId, Operation, Store, Txn, with_timeout};
use burdockslip_types::{HostId, Result, Revision, domain};
use futures::future::{Either, select};
use futures::stream::{FuturesUnordered, StreamExt};
use tracing::{debug, info, warn};

use crate::records::{self, Registration, keys};

/// How long the duty stays with a silent holder. Organisations are refused
/// operations meanwhile, because hosts have only their fractions of the rates.
const LEASE_TTL: Duration = Duration::from_millis(1_250);

/// How long after its tenure a holder still answers reports, within its lease.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// How often the holder renews its lease.
const RENEW_PERIOD: Duration = Duration::from_millis(250);

/// Bounds a call; a slow store takes up to about 0.5 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Kept back from the lease for calls that are on their way.
const SAFETY_MARGIN: Duration = Duration::from_millis(400);

/// How long the holder may act after a renewal was sent.
const TENURE: Duration = LEASE_TTL.saturating_sub(SAFETY_MARGIN);

/// How long after its tenure a holder that cannot reach the store shares out
/// what its hosts may use by themselves. A next holder keeps their parts back
/// for 6 s.
const INTERIM_SPAN: Duration = Duration::from_millis(4_500);

/// Spreads the candidates, in milliseconds, so that one usually wins unopposed.
const CANDIDATE_MS: (u64, u64) = (20, 150);

/// Delays a candidate for each host with more processor time, since the holder
/// answers the reports of all hosts.
const RANK_DELAY: Duration = Duration::from_millis(60);

/// Bounds the ranks that count, so that weak hosts still stand in soon.
const MAX_RANK: u32 = 6;

/// Delays a candidate with less than half of the processor time of another
/// host, which the reports of a large fleet would overload.
const WEAK_DELAY: Duration = Duration::from_millis(800);

/// How long such a host holds the duty before it gives it up again. Hosts that
/// are registered but cannot take it are gone after 5 s.
const WEAK_TENURE: Duration = Duration::from_secs(6);

/// How long a host leaves the duty to others after it could not carry it out.
const ASIDE_SPAN: Duration = Duration::from_secs(3);

/// Proves that this host holds the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// Rises with each change of the holder: the revision of the duty's record.
    pub token: Revision,
    /// The moment after which the duty may be somebody else's.
    pub until: Instant,
}

/// Says on what grounds a host answers reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorRole {
    /// The token of the tenure.
    pub token: Revision,
    /// Whether the tenure has lapsed because the store cannot be reached, so
    /// that another host may hold the duty.
    pub is_interim: bool,
}

domain! {
    /// Records who holds the duty.
    struct Holding {
        /// The host.
        host: HostId,
        /// The lease under which the record stands.
        lease: LeaseId,
    }
}

struct Shared {
    host: HostId,
    capacity: u32,
    directory: Directory,
    tenure: Cell<Option<Tenure>>,
    /// The last tenure, unless the store said that it ended.
    lapsed: Cell<Option<Tenure>>,
    is_leaving: Cell<bool>,
    /// The moment until which the duty is left to others.
    aside: Cell<Option<Instant>>,
    leaving: Signal,
}

/// Takes part in the election; clones share the result.
#[derive(Clone)]
pub struct Duty {
    shared: Rc<Shared>,
    _running: Rc<Task<()>>,
}

impl Duty {
    /// Starts to take part in the election for `host`, which has `capacity`
    /// thousandths of a core.
    pub fn spawn(host: HostId, capacity: u32, directory: Directory) -> Self {
        let shared = Rc::new(Shared {
            host,
            capacity,
            directory,
            tenure: Cell::new(None),
            lapsed: Cell::new(None),
            is_leaving: Cell::new(false),
            aside: Cell::new(None),
            leaving: Signal::default(),
        });
        Self {
            _running: Rc::new(spawn(run(Rc::clone(&shared)))),
            shared,
        }
    }

    /// Returns the tenure if this host holds the duty now.
    pub fn tenure(&self) -> Option<Tenure> {
        self.shared
            .tenure
            .get()
            .filter(|tenure| !tenure.until.is_past())
    }

    /// Returns the token while no other host can have taken the duty; answers
    /// to reports need no margin for a call that is on its way.
    pub fn confirmed_token(&self) -> Option<Revision> {
        let tenure = self.shared.tenure.get()?;
        let until = tenure.until + ANSWER_MARGIN;
        (!until.is_past()).then_some(tenure.token)
    }

    /// Returns on what grounds this host may answer reports, if it may.
    ///
    /// Without the store nobody can take the duty, and hosts that can reach each
    /// other need not fall back to their fractions.
    pub fn coordinator_role(&self) -> Option<CoordinatorRole> {
        if let Some(token) = self.confirmed_token() {
            return Some(CoordinatorRole {
                token,
                is_interim: false,
            });
        }
        let tenure = self.shared.tenure.get().or(self.shared.lapsed.get())?;
        let entry = self.shared.directory.record(keys::DUTY)?;
        let is_last = entry.revision == tenure.token && !self.shared.is_leaving.get();
        let until = tenure.until + INTERIM_SPAN;
        (is_last && !until.is_past()).then_some(CoordinatorRole {
            token: tenure.token,
            is_interim: true,
        })
    }

    /// Returns the host that holds the duty, as far as is known.
    pub fn holder(&self) -> Option<HostId> {
        self.shared.holding().map(|holding| holding.host)
    }

    /// Gives the duty up for some seconds, because this host cannot carry it out.
    pub fn step_aside(&self) {
        self.shared.aside.set(Some(now() + ASIDE_SPAN));
        self.shared.leaving.notify();
    }

    /// Gives the duty up and takes part no longer.
    pub fn leave(&self) {
        self.shared.is_leaving.set(true);
        self.shared.leaving.notify();
    }
}

impl fmt::Debug for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Duty").field(&self.shared.host).finish()
    }
}

impl Shared {
    fn is_aside(&self) -> bool {
        self.aside.get().is_some_and(|until| !until.is_past())
    }

    fn holding(&self) -> Option<Holding> {
        let entry = self.directory.record(keys::DUTY)?;
        records::decode(&entry.value).ok()
    }

    /// Returns the processor time of the registered hosts that have more.
    fn larger(&self) -> Vec<u32> {
        let registrations = self.directory.records(keys::HOSTS);
        registrations
            .iter()
            .filter_map(|entry| Registration::read(&entry.value).ok())
            .map(|registration| registration.capacity)
            .filter(|capacity| *capacity > self.capacity)
            .collect()
    }

    /// Returns whether another host has more than twice the processor time.
    fn is_weak(&self) -> bool {
        let largest = self.larger().into_iter().max();
        largest.is_some_and(|largest| largest / 2 > self.capacity)
    }

    /// Returns how long a candidate waits for better ones.
    fn delay(&self) -> Duration {
        let rank = u32::try_from(self.larger().len()).unwrap_or(MAX_RANK);
        let weak = if self.is_weak() {
            WEAK_DELAY
        } else {
            Duration::ZERO
        };
        RANK_DELAY * rank.min(MAX_RANK) + weak
    }

    /// Returns whether the duty is nobody's, or that of an earlier run of this host.
    fn is_vacant(&self) -> bool {
        self.directory.record(keys::DUTY).is_none()
            || self
                .holding()
                .is_none_or(|holding| holding.host == self.host)
    }
}

/// Ends the tenure of an earlier run of this host, which cannot act any more.
async fn end_earlier_run(shared: &Shared) {
    let Some(holding) = shared
        .holding()
        .filter(|holding| holding.host == shared.host)
    else {
        return;
    };
    let outcome = with_timeout(
        CALL_TIMEOUT,
        shared.directory.store().revoke_lease(holding.lease),
    )
    .await;
    info!(
        lease = holding.lease.0,
        ended = outcome.is_ok(),
        "duty of an earlier run ended"
    );
}

async fn run(shared: Rc<Shared>) {
    loop {
        wait_vacant(&shared).await;
        if shared.is_leaving.get() {
            return;
        }
        if let Some(until) = shared.aside.take() {
            sleep_until(until).await;
            continue;
        }
        end_earlier_run(&shared).await;
        let (least, most) = CANDIDATE_MS;
        let delay = Duration::from_millis(random_range(least..most));
        sleep(delay + shared.delay()).await;
        if !shared.is_vacant() {
            continue;
        }
        match claim(&shared).await {
            Ok(Some((duty, won))) => {
                shared.tenure.set(Some(won));
                shared.lapsed.set(None);
                info!(fence = won.token.0, "duty taken");
                hold(&shared, duty, won).await;
                shared.tenure.set(None);
            }
            Ok(None) => {}
            Err(error) => {
                info!(?error, "duty not claimed");
                sleep(RENEW_PERIOD).await;
            }
        }
    }
}

async fn wait_vacant(shared: &Shared) {
    loop {
        let seen = shared.directory.changed().epoch();
        let is_synced = shared.directory.is_loaded();
        if shared.is_leaving.get() || (is_synced && shared.is_vacant()) {
            return;
        }
        shared.directory.changed().changed(seen).await;
    }
}

async fn claim(shared: &Shared) -> Result<Option<(LeaseId, Tenure)>> {
    let store = shared.directory.store();
    let sent = now();
    let lease = with_timeout(CALL_TIMEOUT, store.grant_lease(LEASE_TTL)).await?;
    let holding = Holding {
        host: shared.host.clone(),
        lease,
    };
    let reply = with_timeout(
        CALL_TIMEOUT,
        store.txn(Txn {
            compares: vec![Compare::Revision(keys::DUTY.to_owned(), Revision(0))],
            operations: vec![Operation::Put(
                keys::DUTY.to_owned(),
                records::encode(&holding)?,
                Some(lease),
            )],
        }),
    )
    .await;
    let is_won = matches!(&reply, Ok(reply) if reply.is_applied);
    if !is_won {
        // A claim whose answer was lost must not keep the duty.
        if let Err(error) = with_timeout(CALL_TIMEOUT, store.revoke_lease(lease)).await {
            info!(?error, "unused lease left to lapse");
        }
    }
    let reply = reply?;
    let tenure = Tenure {
        token: reply.revision,
        until: sent + TENURE,
    };
    Ok(reply.is_applied.then_some((lease, tenure)))
}

/// Renews the lease until it ends or the duty is given up.
///
/// A renewal is sent each period even if earlier ones are not answered yet,
/// because a slow store would let the tenure lapse between them.
async fn hold(shared: &Shared, lease: LeaseId, mut tenure: Tenure) {
    let store = shared.directory.store();
    let mut renewals = FuturesUnordered::new();
    let mut next = now() + RENEW_PERIOD;
    let begun = now();
    loop {
        let seen = shared.leaving.epoch();
        let is_weak = begun.elapsed() > WEAK_TENURE && shared.is_weak();
        if shared.is_leaving.get() || is_weak || shared.is_aside() {
            shared.tenure.set(None);
            let outcome = with_timeout(CALL_TIMEOUT, store.revoke_lease(lease)).await;
            info!(
                fence = tenure.token.0,
                given_up = outcome.is_ok(),
                is_weak,
                is_aside = shared.is_aside(),
                "duty left"
            );
            return;
        }
        if next.is_past() {
            next = now() + RENEW_PERIOD;
            renewals.push(renew(store, lease));
        }
        let wake = select(sleep_until(next), Box::pin(shared.leaving.changed(seen)));
        if renewals.is_empty() {
            wake.await;
            continue;
        }
        let Either::Left((Some((sent, outcome)), _)) = select(renewals.next(), wake).await else {
            continue;
        };
        match outcome {
            Ok(left) if !left.is_zero() => {
                tenure.until = tenure.until.max(sent + TENURE);
                shared.tenure.set(Some(tenure));
            }
            Ok(_) => {
                info!(fence = tenure.token.0, "duty lost, lease ended");
                return;
            }
            Err(error) if (tenure.until + SAFETY_MARGIN).is_past() => {
                warn!(
                    fence = tenure.token.0,
                    ?error,
                    "duty lost, lease not renewed"
                );
                shared.lapsed.set(Some(tenure));
                return;
            }
            // Another renewal is on its way.
            Err(error) => debug!(fence = tenure.token.0, ?error, "lease not renewed"),
        }
    }
}

async fn renew(store: &Store, lease: LeaseId) -> (Instant, Result<Duration>) {
    let sent = now();
    (
        sent,
        with_timeout(CALL_TIMEOUT, store.keep_lease(lease)).await,
    )
}
