//! Elects the coordinator: the host that holds the duty to promote primaries.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_runtime::{Instant, Signal, Task, now, random_range, sleep, sleep_until, spawn};
use burdockslip_store::{Compare, Entry, LeaseId, Operation, Store, Txn, with_timeout};
use burdockslip_types::{HostId, Result, Revision, domain};
use futures::future::{Either, select};
use futures::stream::{FuturesUnordered, StreamExt};
use tracing::{debug, info, warn};

use crate::Rival;
use crate::records::{self, Registration, keys};

/// The TTL of the holder's lease: an unresponsive holder keeps the duty for this
/// long. Operations of organisations are rejected in the meantime, because each
/// host admits only its fraction of the rates without a coordinator.
const LEASE_TTL: Duration = Duration::from_millis(1_250);

/// How long after its tenure a holder still answers reports; this ends before
/// its lease does.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// How often the holder renews its lease.
const RENEW_PERIOD: Duration = Duration::from_millis(250);

/// The timeout of a call to the store; a slow store takes up to about 0.5 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long before the end of its lease a tenure ends, so that calls in flight
/// finish within the lease.
const SAFETY_MARGIN: Duration = Duration::from_millis(400);

/// How long a tenure lasts after a renewal was sent.
const TENURE: Duration = LEASE_TTL.saturating_sub(SAFETY_MARGIN);

/// How long after its tenure a holder that cannot reach the store still
/// distributes the fractions of the rates that its hosts may use on their own. They
/// do so for 3 s after their last answer within a tenure; a new holder reserves these
/// fractions for longer.
const INTERIM_SPAN: Duration = Duration::from_millis(4_500);

/// The bounds of a candidate's random delay, in milliseconds. The delay usually lets
/// one candidate win without contention.
const CANDIDATE_DELAY_MS: (u64, u64) = (20, 150);

/// The delay of a candidate for each host with more processor time. Larger hosts
/// are preferred, since the holder answers the reports of all hosts.
const RANK_DELAY: Duration = Duration::from_millis(60);

/// The maximum rank that adds to the delay, so that small hosts still replace a
/// lost holder soon.
const MAX_RANK: u32 = 6;

/// The additional delay of a candidate with less than half of the processor time
/// of another host, because the reports of a large fleet would overload it.
const WEAK_DELAY: Duration = Duration::from_millis(800);

/// The additional delay of a candidate while the record of a rival names another host,
/// which hears more hosts.
const RIVAL_DELAY: Duration = Duration::from_millis(600);

/// How long a host with that little processor time keeps the duty before it
/// releases it to a larger one. A larger host may be registered and yet unable to
/// take the duty; its registration expires after 5 s.
const WEAK_TENURE: Duration = Duration::from_secs(6);

/// How long a host does not run for the duty after it failed to perform it.
const ASIDE_SPAN: Duration = Duration::from_secs(3);

/// The period during which this host holds the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// The fencing token: the revision of the duty's record, which increases
    /// with each change of the holder.
    pub token: Revision,
    /// The moment after which another host may hold the duty.
    pub until: Instant,
}

/// The basis on which this host answers reports as the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorRole {
    /// The token of the tenure.
    pub token: Revision,
    /// Whether the tenure has expired because the store is unreachable, so that
    /// another host may hold the duty.
    pub is_interim: bool,
}

domain! {
    /// The record of the host that holds the duty.
    struct DutyRecord {
        /// The holder.
        host: HostId,
        /// The lease of the record; the record is deleted when it ends.
        lease: LeaseId,
    }
}

struct Shared {
    host: HostId,
    capacity: u32,
    directory: Directory,
    tenure: Cell<Option<Tenure>>,
    /// The last tenure if it ended without an answer of the store; `None` if the
    /// store reported the end of the lease.
    expired: Cell<Option<Tenure>>,
    is_leaving: Cell<bool>,
    /// The moment until which this host does not run for the duty.
    aside_until: Cell<Option<Instant>>,
    /// Wakes the holder to release the duty.
    release: Signal,
}

/// Takes part in the election of the coordinator; clones share the result.
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
            expired: Cell::new(None),
            is_leaving: Cell::new(false),
            aside_until: Cell::new(None),
            release: Signal::default(),
        });
        Self {
            _running: Rc::new(spawn(run(Rc::clone(&shared)))),
            shared,
        }
    }

    /// Returns the tenure if this host currently holds the duty.
    pub fn tenure(&self) -> Option<Tenure> {
        self.shared
            .tenure
            .get()
            .filter(|tenure| !tenure.until.is_past() && self.shared.is_current(tenure))
    }

    /// Returns the token as long as no other host can hold the duty.
    ///
    /// This is longer than the tenure, because answers to reports need no margin
    /// for a call in flight.
    pub fn confirmed_token(&self) -> Option<Revision> {
        let tenure = self.shared.tenure.get();
        let tenure = tenure.filter(|tenure| self.shared.is_current(tenure))?;
        let until = tenure.until + ANSWER_MARGIN;
        (!until.is_past()).then_some(tenure.token)
    }

    /// Returns the basis on which this host may answer reports, if there is one.
    ///
    /// While the store is down, no host can take the duty. The last holder continues
    /// as an interim coordinator, so that the hosts that reach it need not fall
    /// back to their fractions of the rates.
    pub fn coordinator_role(&self) -> Option<CoordinatorRole> {
        if let Some(token) = self.confirmed_token() {
            return Some(CoordinatorRole {
                token,
                is_interim: false,
            });
        }
        let tenure = self.shared.tenure.get().or(self.shared.expired.get())?;
        let entry = self.shared.duty_entry()?;
        let is_last = entry.revision == tenure.token && !self.shared.is_leaving.get();
        let until = tenure.until + INTERIM_SPAN;
        (is_last && !until.is_past()).then_some(CoordinatorRole {
            token: tenure.token,
            is_interim: true,
        })
    }

    /// Returns the holder of the duty according to the newest record known here.
    pub fn holder(&self) -> Option<HostId> {
        self.shared.duty_record().map(|record| record.host)
    }

    /// Returns the rival that challenges the current tenure of this host, if there is one.
    pub fn rival(&self) -> Option<Rival> {
        let token = self.tenure()?.token;
        self.shared.rival().filter(|rival| rival.token == token)
    }

    /// Releases the duty for some seconds, because this host cannot perform it.
    pub fn step_aside(&self) {
        self.shared.aside_until.set(Some(now() + ASIDE_SPAN));
        self.shared.release.notify();
    }

    /// Releases the duty and takes no further part in the election.
    pub fn leave(&self) {
        self.shared.is_leaving.set(true);
        self.shared.release.notify();
    }
}

impl fmt::Debug for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Duty").field(&self.shared.host).finish()
    }
}

impl Shared {
    fn is_aside(&self) -> bool {
        self.aside_until.get().is_some_and(|until| !until.is_past())
    }

    fn duty_entry(&self) -> Option<Entry> {
        self.directory.record(&keys::duty(self.directory.era()))
    }

    /// Returns whether a tenure is of the store's current era.
    fn is_current(&self, tenure: &Tenure) -> bool {
        tenure.token.era() == self.directory.era()
    }

    /// Returns when a holder of an earlier era of the store, whose lease is not in the
    /// restored copy, can no longer hold the duty.
    fn vacant_from(&self) -> Option<Instant> {
        Some(self.directory.era_since()? + LEASE_TTL)
    }

    fn duty_record(&self) -> Option<DutyRecord> {
        let entry = self.duty_entry()?;
        records::decode(&entry.value).ok()
    }

    fn rival(&self) -> Option<Rival> {
        let entry = self.directory.record(keys::RIVAL)?;
        Rival::read(&entry.value).ok()
    }

    /// Returns the processor times of the registered hosts that have more of it.
    fn larger_capacities(&self) -> Vec<u32> {
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
        let largest = self.larger_capacities().into_iter().max();
        largest.is_some_and(|largest| largest / 2 > self.capacity)
    }

    /// Returns how long this host, as a candidate, leaves the duty to larger hosts and to
    /// a rival of the previous holder that hears most hosts.
    fn candidate_delay(&self) -> Duration {
        let registered = self.directory.count(keys::HOSTS);
        let rival = self.rival().filter(|rival| rival.heard * 2 >= registered);
        match rival {
            Some(rival) if rival.host == self.host => Duration::ZERO,
            Some(_) => RIVAL_DELAY + self.rank_delay(),
            None => self.rank_delay(),
        }
    }

    fn rank_delay(&self) -> Duration {
        let rank = u32::try_from(self.larger_capacities().len()).unwrap_or(MAX_RANK);
        let weak = if self.is_weak() {
            WEAK_DELAY
        } else {
            Duration::ZERO
        };
        RANK_DELAY * rank.min(MAX_RANK) + weak
    }

    /// Returns whether nobody holds the duty, or only an earlier run of this host.
    fn is_vacant(&self) -> bool {
        self.duty_entry().is_none()
            || self
                .duty_record()
                .is_none_or(|record| record.host == self.host)
    }
}

/// Ends the tenure of an earlier run of this host, whose process no longer exists.
async fn end_earlier_run(shared: &Shared) {
    let Some(record) = shared
        .duty_record()
        .filter(|record| record.host == shared.host)
    else {
        return;
    };
    let outcome = with_timeout(
        CALL_TIMEOUT,
        shared.directory.store().revoke_lease(record.lease),
    )
    .await;
    info!(
        lease = record.lease.0,
        ended = outcome.is_ok(),
        "duty of an earlier run ended"
    );
}

/// Removes the records of earlier eras that the restored store has, whose holders' late
/// writes would be applied otherwise. Returns whether none is left.
async fn remove_earlier_eras(shared: &Shared) -> bool {
    let key = keys::duty(shared.directory.era());
    let mut earlier = shared.directory.records(keys::DUTY);
    earlier.retain(|entry| entry.key != key);
    if earlier.is_empty() {
        return true;
    }
    let operations = earlier
        .into_iter()
        .map(|entry| Operation::Delete(entry.key));
    let txn = Txn {
        compares: Vec::new(),
        operations: operations.collect(),
    };
    let outcome = with_timeout(CALL_TIMEOUT, shared.directory.store().txn(txn)).await;
    outcome.is_ok_and(|reply| reply.is_applied && reply.revision.era() == shared.directory.era())
}

async fn run(shared: Rc<Shared>) {
    loop {
        wait_vacant(&shared).await;
        if shared.is_leaving.get() {
            return;
        }
        if let Some(until) = shared.aside_until.take() {
            sleep_until(until).await;
            continue;
        }
        if let Some(until) = shared.vacant_from() {
            sleep_until(until).await;
        }
        end_earlier_run(&shared).await;
        if !remove_earlier_eras(&shared).await {
            sleep(RENEW_PERIOD).await;
            continue;
        }
        let (least, most) = CANDIDATE_DELAY_MS;
        let delay = Duration::from_millis(random_range(least..most));
        sleep(delay + shared.candidate_delay()).await;
        // The store may have been restored meanwhile.
        let is_early = shared.vacant_from().is_some_and(|from| !from.is_past());
        if is_early || !shared.is_vacant() || shared.is_leaving.get() || shared.is_aside() {
            continue;
        }
        match claim(&shared).await {
            Ok(Some((duty_lease, won))) => {
                shared.tenure.set(Some(won));
                shared.expired.set(None);
                info!(fence = won.token.0, "duty taken");
                hold(&shared, duty_lease, won).await;
                shared.tenure.set(None);
            }
            Ok(None) => {}
            Err(error) => {
                info!(?error, "duty claim failed");
                sleep(RENEW_PERIOD).await;
            }
        }
    }
}

async fn wait_vacant(shared: &Shared) {
    loop {
        let seen = shared.directory.changed().epoch();
        let is_loaded = shared.directory.is_loaded();
        if shared.is_leaving.get() || (is_loaded && shared.is_vacant()) {
            return;
        }
        shared.directory.changed().changed(seen).await;
    }
}

async fn claim(shared: &Shared) -> Result<Option<(LeaseId, Tenure)>> {
    let store = shared.directory.store();
    let era = shared.directory.era();
    let key = keys::duty(era);
    let sent = now();
    let lease = with_timeout(CALL_TIMEOUT, store.grant_lease(LEASE_TTL)).await?;
    let record = DutyRecord {
        host: shared.host.clone(),
        lease,
    };
    let reply = with_timeout(
        CALL_TIMEOUT,
        store.txn(Txn {
            compares: vec![Compare::Revision(key.clone(), Revision(0))],
            operations: vec![Operation::Put(key, records::encode(&record)?, Some(lease))],
        }),
    )
    .await;
    let is_won = matches!(&reply, Ok(reply) if reply.is_applied && reply.revision.era() == era);
    if !is_won {
        // A claim whose answer was lost may have been applied; it must not keep
        // the duty.
        if let Err(error) = with_timeout(CALL_TIMEOUT, store.revoke_lease(lease)).await {
            info!(?error, "unused lease not revoked, it will expire");
        }
    }
    let reply = reply?;
    let tenure = Tenure {
        token: reply.revision,
        until: sent + TENURE,
    };
    Ok(is_won.then_some((lease, tenure)))
}

/// Renews the lease until it ends or the duty is released.
///
/// A renewal is sent in each period even while earlier ones are in flight;
/// otherwise the tenure would expire between two answers of a slow store.
async fn hold(shared: &Shared, lease: LeaseId, mut tenure: Tenure) {
    let store = shared.directory.store();
    let mut renewals = FuturesUnordered::new();
    let mut next = now() + RENEW_PERIOD;
    let started = now();
    loop {
        let seen = shared.release.epoch();
        if !shared.is_current(&tenure) {
            let era = shared.directory.era();
            info!(fence = tenure.token.0, era, "duty lost, store was restored");
            return;
        }
        let is_weak = started.elapsed() > WEAK_TENURE && shared.is_weak();
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
        let wake = select(sleep_until(next), Box::pin(shared.release.changed(seen)));
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
                shared.expired.set(Some(tenure));
                return;
            }
            // Another renewal is in flight or follows within the period.
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
