//! Admits requests on a host with tokens from the authorities.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep, spawn, timeout, timeout_at};
use burdockslip_types::{ErrorKind, HostId, Link, Organisation, domain};

use crate::pool::Pool;
use crate::{Directory, Envelope, Permit, Rates, Reply, Request, Settings, Shard, Tokens};

/// The hosts of the own zone that are asked before other zones.
const CANDIDATES: usize = 2;
/// The shortest and longest time between two attempts, in microseconds.
const RETRY_MICROS: std::ops::Range<u64> = 2_000..100_000;

domain! {
    /// Names the limit that rejected a request.
    #[derive(Copy)]
    pub enum LimitName {
        /// The organisation's rate and burst.
        OrganisationRate,
        /// The number of requests of one organisation that may wait on a host.
        WaitLimit,
        /// The absence of an authority that could grant tokens.
        NoAuthority,
        /// The absence of a limit for the organisation in the catalogue.
        NotInCatalogue,
    }

    /// Reports that a request was not admitted and did not run.
    pub struct Rejection {
        /// The limit that applied.
        pub limit: LimitName,
        /// After which time a retry can succeed.
        pub retry: Duration,
    }
}

impl Rejection {
    /// Returns the kind of error to report to the caller.
    pub const fn kind(&self) -> ErrorKind {
        match self.limit {
            LimitName::NotInCatalogue => ErrorKind::ConfigMissing,
            LimitName::OrganisationRate | LimitName::WaitLimit | LimitName::NoAuthority => {
                ErrorKind::RateExceeded
            }
        }
    }
}

/// Admits the requests of all organisations on one host.
#[derive(Debug, Clone)]
pub struct Limiter {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    directory: Directory,
    settings: Settings,
    link: Link<Rates>,
    pools: RefCell<HashMap<Organisation, Pool>>,
    /// The host that last granted tokens of a shard.
    owners: RefCell<HashMap<Shard, HostId>>,
}

/// Holds granted tokens with their expiry on this host's clock.
#[derive(Debug, Clone, Copy)]
struct Grant {
    count: Tokens,
    expiry: Instant,
    /// The time until the missing tokens are expected, zero if none are missing.
    retry: Duration,
}

impl Limiter {
    /// Builds a limiter that reaches authorities, also this host's own, through `link`.
    pub fn new(directory: Directory, settings: Settings, link: Link<Rates>) -> Self {
        Self {
            shared: Rc::new(Shared {
                directory,
                settings,
                link,
                pools: RefCell::default(),
                owners: RefCell::default(),
            }),
        }
    }

    /// Waits until `deadline` at most for tokens worth `cost`.
    ///
    /// The permit must reach the holder of the database before it expires;
    /// see [`Permit::proof`].
    ///
    /// # Errors
    ///
    /// Returns the limit that applied and when to retry. The request was not
    /// run then.
    pub async fn admit(
        &self,
        organisation: &Organisation,
        cost: Tokens,
        deadline: Instant,
    ) -> Result<Permit, Rejection> {
        if (self.shared.directory.limit)(organisation).is_none() {
            return Err(Rejection {
                limit: LimitName::NotInCatalogue,
                retry: self.shared.settings.renewal,
            });
        }
        let receiver = {
            let mut pools = self.shared.pools.borrow_mut();
            let pool = pools.entry(organisation.clone()).or_default();
            pool.note_arrival(cost, now());
            let permit = pool.take_at_once(cost, now());
            let receiver = permit.is_none().then(|| pool.wait(cost));
            let is_full = pool.waiting() > self.shared.settings.wait_limit;
            self.ensure_asking(organisation, pool);
            match (permit, receiver) {
                (Some(permit), _) => return Ok(permit),
                (None, Some(receiver)) if !is_full => receiver,
                _ => return Err(rejection(pool, LimitName::WaitLimit)),
            }
        };
        match timeout_at(deadline, receiver).await {
            Ok(Ok(permit)) if permit.is_valid() => Ok(permit),
            _ => Err(self.shared.reject(organisation)),
        }
    }

    /// Starts the task that asks for tokens if it does not run and tokens are wanted.
    fn ensure_asking(&self, organisation: &Organisation, pool: &mut Pool) {
        let wanted = pool.wanted(self.shared.settings.prefetch, now());
        if !pool.is_asking && wanted > Tokens(0) {
            pool.is_asking = true;
            let shared = Rc::clone(&self.shared);
            spawn(ask_while_wanted(shared, organisation.clone())).detach();
        }
    }
}

/// Asks the authority until no more tokens are wanted.
async fn ask_while_wanted(shared: Rc<Shared>, organisation: Organisation) {
    while let Some(request) = shared.next_request(&organisation) {
        let grant = shared.ask(&organisation, request).await;
        let pause = shared.settle(&organisation, grant);
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
}

impl Shared {
    /// Builds the next request, or ends the asking if nothing is wanted.
    fn next_request(&self, organisation: &Organisation) -> Option<Request> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(organisation)?;
        let wanted = pool.wanted(self.settings.prefetch, now());
        if wanted == Tokens(0) {
            pool.is_asking = false;
            return None;
        }
        Some(Request::Grant {
            organisation: organisation.clone(),
            wanted,
            demand: pool.demand(now()),
        })
    }

    /// Asks the hosts in turn until one of them has authority.
    ///
    /// Authorities of other zones are asked only when the own zone has none:
    /// they keep the bound as well, with the part of their zone.
    async fn ask(&self, organisation: &Organisation, request: Request) -> Option<Grant> {
        let shard = self.settings.shard(organisation);
        for host in self.candidates(shard) {
            let envelope = Envelope {
                from: self.directory.host.clone(),
                request: request.clone(),
            };
            let sent = now();
            let call = self.link.call(&host, envelope);
            let reply = timeout(self.settings.peer_timeout, call).await;
            if let Ok(Ok(Reply::Granted { count, life, retry })) = reply {
                self.owners.borrow_mut().insert(shard, host);
                return Some(Grant {
                    count,
                    expiry: sent + life,
                    retry,
                });
            }
        }
        self.owners.borrow_mut().remove(&shard);
        None
    }

    fn candidates(&self, shard: Shard) -> Vec<HostId> {
        let ranked = |zone, count| (self.directory.rank)(zone, shard).into_iter().take(count);
        let mut hosts: Vec<_> = ranked(&self.directory.zone, CANDIDATES).collect();
        // The last owner comes first while it still belongs to the zone's candidates.
        if let Some(owner) = self.owners.borrow().get(&shard)
            && let Some(place) = hosts.iter().position(|host| host == owner)
        {
            hosts.swap(0, place);
        }
        for zone in self.directory.other_zones() {
            hosts.extend(ranked(zone, 1));
        }
        hosts
    }

    /// Adds granted tokens, serves the waiters and returns how long to wait before the next request.
    fn settle(&self, organisation: &Organisation, grant: Option<Grant>) -> Option<Duration> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(organisation)?;
        let retry = grant.map_or(self.settings.peer_timeout, |grant| grant.retry);
        if let Some(grant) = grant {
            pool.add(grant.count, grant.expiry);
            pool.is_short = retry > Duration::ZERO;
            pool.retry = now() + retry;
        }
        pool.serve(now());
        if retry.is_zero() {
            return None;
        }
        // Hosts that wait for the same bucket must not ask in step.
        let jitter = random_range(0..RETRY_MICROS.start);
        let retry = u64::try_from(retry.as_micros()).unwrap_or(u64::MAX);
        let retry = retry.clamp(RETRY_MICROS.start, RETRY_MICROS.end);
        Some(Duration::from_micros(retry + jitter))
    }

    fn reject(&self, organisation: &Organisation) -> Rejection {
        let shard = self.settings.shard(organisation);
        let limit = if self.owners.borrow().contains_key(&shard) {
            LimitName::OrganisationRate
        } else {
            LimitName::NoAuthority
        };
        let mut pools = self.pools.borrow_mut();
        rejection(pools.entry(organisation.clone()).or_default(), limit)
    }
}

fn rejection(pool: &Pool, limit: LimitName) -> Rejection {
    Rejection {
        limit,
        retry: pool.retry.remaining().max(Duration::from_millis(1)),
    }
}
