//! Admits the requests that arrive at a host, using tokens granted by the authorities.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep, spawn, timeout, timeout_at};
use burdockslip_types::{ErrorKind, HostId, Organisation, PeerClient, Zone, domain};

use crate::pool::Pool;
use crate::{Envelope, FleetView, Permit, RateExchange, Reply, Request, Settings, Shard, Tokens};

/// The number of hosts of a zone, by rank, that are asked for tokens.
const CANDIDATES: usize = 2;
/// The minimum and maximum time between two attempts to get tokens, in microseconds.
const RETRY_MICROS: std::ops::Range<u64> = 2_000..100_000;

domain! {
    /// The limit because of which a request was rejected.
    #[derive(Copy)]
    pub enum LimitName {
        /// The organisation's rate and burst.
        OrganisationRate,
        /// The maximum number of requests of one organisation that may wait on a host.
        WaitLimit,
        /// No authority of the organisation's shard could be reached in this zone.
        NoAuthority,
        /// The catalogue has no limit for the organisation.
        NotInCatalogue,
    }

    /// The reason why a request was not admitted; the request did not run.
    pub struct Rejection {
        /// The limit that applied.
        pub limit: LimitName,
        /// The time after which a retry can succeed.
        pub retry_after: Duration,
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
    fleet: FleetView,
    settings: Settings,
    peers: PeerClient<RateExchange>,
    pools: RefCell<HashMap<Organisation, Pool>>,
    /// The host of this zone that last granted tokens of a shard.
    owners: RefCell<HashMap<Shard, HostId>>,
}

/// A request for tokens.
#[derive(Debug, Clone, Copy)]
struct TokenRequest {
    wanted: Tokens,
    /// The total cost of the requests that arrived since the last report to an authority.
    arrived: Tokens,
    /// Whether requests are waiting, as opposed to fetching in advance only.
    is_urgent: bool,
}

/// Granted tokens with their expiry on this host's clock.
#[derive(Debug, Clone, Copy)]
struct Grant {
    count: Tokens,
    expiry: Instant,
    /// The time until the missing tokens are expected, zero if none are missing.
    retry_after: Duration,
}

impl Limiter {
    /// Builds a limiter that reaches all authorities, including that of this host, through `peers`.
    pub fn new(fleet: FleetView, settings: Settings, peers: PeerClient<RateExchange>) -> Self {
        Self {
            shared: Rc::new(Shared {
                fleet,
                settings,
                peers,
                pools: RefCell::default(),
                owners: RefCell::default(),
            }),
        }
    }

    /// Takes `cost` tokens of an organisation, waiting for them until `deadline` at most.
    ///
    /// The permit must reach the holder of the database before it expires;
    /// see [`Permit::proof`].
    ///
    /// # Errors
    ///
    /// Returns the limit that applied and when to retry. The request must not
    /// be run then.
    pub async fn admit(
        &self,
        organisation: &Organisation,
        cost: Tokens,
        deadline: Instant,
    ) -> Result<Permit, Rejection> {
        if (self.shared.fleet.limit_of)(organisation).is_none() {
            return Err(Rejection {
                limit: LimitName::NotInCatalogue,
                retry_after: self.shared.settings.renew_interval,
            });
        }
        let receiver = {
            let mut pools = self.shared.pools.borrow_mut();
            let pool = pools.entry(organisation.clone()).or_default();
            pool.record_arrival(cost, now());
            let permit = pool.try_take(cost, now());
            let receiver = permit.is_none().then(|| pool.enqueue(cost));
            let is_full = pool.waiting_count() > self.shared.settings.max_waiting;
            self.ensure_fetching(organisation, pool);
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

    /// Starts the task that fetches tokens if tokens are wanted and it is not running.
    fn ensure_fetching(&self, organisation: &Organisation, pool: &mut Pool) {
        let wanted = pool.wanted(self.shared.prefetch(organisation), now());
        if !pool.is_fetching && wanted > Tokens(0) {
            pool.is_fetching = true;
            let shared = Rc::clone(&self.shared);
            spawn(fetch_tokens(shared, organisation.clone())).detach();
        }
    }
}

/// Requests tokens until no more are wanted.
async fn fetch_tokens(shared: Rc<Shared>, organisation: Organisation) {
    while let Some(request) = shared.next_request(&organisation) {
        let own_grant = shared.request_from_zone(&organisation, request).await;
        let mut pause = shared.apply_grant(&organisation, request, own_grant);
        let missing = request.wanted - own_grant.map_or(Tokens(0), |grant| grant.count);
        if request.is_urgent && missing > Tokens(0) {
            let remaining = TokenRequest {
                wanted: missing,
                arrived: if own_grant.is_some() {
                    Tokens(0)
                } else {
                    request.arrived
                },
                ..request
            };
            let other_grant = shared
                .request_from_others(&organisation, remaining, own_grant.is_none())
                .await;
            pause = shared.apply_grant(&organisation, remaining, other_grant);
        }
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
}

impl Shared {
    /// Returns the next request for tokens; `None` if no tokens are wanted, which ends the task.
    fn next_request(&self, organisation: &Organisation) -> Option<TokenRequest> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(organisation)?;
        let wanted = pool.wanted(self.prefetch(organisation), now());
        if wanted == Tokens(0) {
            pool.is_fetching = false;
            return None;
        }
        Some(TokenRequest {
            wanted,
            arrived: std::mem::take(&mut pool.arrived),
            is_urgent: pool.waiting_count() > 0,
        })
    }

    /// Returns how much demand to cover in advance: at most half of the tokens' time to live.
    fn prefetch(&self, organisation: &Organisation) -> Duration {
        let limit = (self.fleet.limit_of)(organisation).unwrap_or_default();
        let ttl = limit.token_ttl(self.settings.token_ttl);
        self.settings.prefetch.min(ttl / 2)
    }

    /// Requests tokens from the hosts of this zone until one of them has authority over the shard.
    async fn request_from_zone(
        &self,
        organisation: &Organisation,
        request: TokenRequest,
    ) -> Option<Grant> {
        let shard = self.settings.shard(organisation);
        let mut hosts = self.candidate_hosts(&self.fleet.zone, shard);
        let last_owner = self.owners.borrow().get(&shard).cloned();
        if let Some(index) = hosts
            .iter()
            .position(|host| Some(host) == last_owner.as_ref())
        {
            hosts.swap(0, index);
        }
        for host in hosts {
            if let Some(grant) = self.request_grant(&host, organisation, request).await {
                self.owners.borrow_mut().insert(shard, host);
                return Some(grant);
            }
        }
        self.owners.borrow_mut().remove(&shard);
        None
    }

    /// Requests tokens for waiting requests from other zones, starting with a random one.
    ///
    /// The authorities there grant from their own zone's part of the limit,
    /// so the bound holds. One zone is asked in each round, or all of them
    /// with `asks_all`, until one grants tokens.
    async fn request_from_others(
        &self,
        organisation: &Organisation,
        request: TokenRequest,
        asks_all: bool,
    ) -> Option<Grant> {
        let shard = self.settings.shard(organisation);
        let mut zones: Vec<_> = self.fleet.other_zones().collect();
        let count = u64::try_from(zones.len()).unwrap_or(0);
        zones.rotate_left(usize::try_from(random_range(0..count)).unwrap_or(0));
        zones.truncate(if asks_all { zones.len() } else { 1 });
        for zone in zones {
            for host in self.candidate_hosts(zone, shard) {
                let grant = self.request_grant(&host, organisation, request).await;
                if grant.is_some_and(|grant| grant.count > Tokens(0)) {
                    return grant;
                }
                if grant.is_some() {
                    break;
                }
            }
        }
        None
    }

    /// Requests tokens from one host; `None` without a reply or if it has no authority.
    async fn request_grant(
        &self,
        host: &HostId,
        organisation: &Organisation,
        request: TokenRequest,
    ) -> Option<Grant> {
        let envelope = Envelope {
            from: self.fleet.host.clone(),
            request: Request::Grant {
                organisation: organisation.clone(),
                wanted: request.wanted,
                arrived: request.arrived,
            },
        };
        let sent = now();
        let call = self.peers.call(host, envelope);
        let reply = timeout(self.settings.peer_timeout, call).await;
        let Ok(Ok(Reply::Granted {
            count,
            ttl,
            retry_after,
        })) = reply
        else {
            return None;
        };
        Some(Grant {
            count,
            expiry: sent + ttl,
            retry_after,
        })
    }

    /// Returns the hosts of a zone that may have authority over `shard`.
    fn candidate_hosts(&self, zone: &Zone, shard: Shard) -> Vec<HostId> {
        let mut hosts = (self.fleet.ranked_hosts)(zone, shard);
        hosts.truncate(CANDIDATES);
        hosts
    }

    /// Adds granted tokens to the pool and serves the waiters.
    ///
    /// Returns how long to wait before the next request for tokens; `None` if
    /// all wanted tokens were granted.
    fn apply_grant(
        &self,
        organisation: &Organisation,
        request: TokenRequest,
        grant: Option<Grant>,
    ) -> Option<Duration> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(organisation)?;
        let retry_after = grant.map_or(self.settings.peer_timeout, |grant| grant.retry_after);
        let mut is_enough = false;
        if let Some(grant) = grant {
            pool.add(grant.count, grant.expiry);
            is_enough = grant.count >= request.wanted;
        }
        pool.is_short = !is_enough;
        pool.retry_at = now() + retry_after;
        pool.serve_waiters(now());
        if is_enough {
            return None;
        }
        // Jitter keeps hosts that wait for the same bucket from retrying at the same time.
        let jitter = random_range(0..RETRY_MICROS.start);
        let retry_after = u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
        let retry_after = retry_after.clamp(RETRY_MICROS.start, RETRY_MICROS.end);
        Some(Duration::from_micros(retry_after + jitter))
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
        retry_after: pool.retry_at.remaining().max(Duration::from_millis(1)),
    }
}
