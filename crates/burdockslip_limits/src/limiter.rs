//! Admits requests on a host with tokens from the authorities.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep, spawn, timeout, timeout_at};
use burdockslip_types::{ErrorKind, HostId, Organisation, PeerClient, Zone, domain};

use crate::pool::Pool;
use crate::{Envelope, FleetView, Permit, RateExchange, Reply, Request, Settings, Shard, Tokens};

/// The hosts of a zone that are asked, by rank.
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
    link: PeerClient<RateExchange>,
    pools: RefCell<HashMap<Organisation, Pool>>,
    /// The host that last granted tokens of a shard.
    owners: RefCell<HashMap<Shard, HostId>>,
}

/// Holds what a host asks for.
#[derive(Debug, Clone, Copy)]
struct Need {
    wanted: Tokens,
    /// The tokens of requests that arrived since the last report.
    arrived: Tokens,
    /// Whether requests wait, as opposed to fetching in advance.
    is_urgent: bool,
}

/// Holds granted tokens with their expiry on this host's clock.
#[derive(Debug, Clone, Copy)]
struct Grant {
    count: Tokens,
    expiry: Instant,
    /// The time until the missing tokens are expected, zero if none are missing.
    retry_after: Duration,
}

impl Limiter {
    /// Builds a limiter that reaches authorities, also this host's own, through `link`.
    pub fn new(fleet: FleetView, settings: Settings, link: PeerClient<RateExchange>) -> Self {
        Self {
            shared: Rc::new(Shared {
                fleet,
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
        if (self.shared.fleet.limit_of)(organisation).is_none() {
            return Err(Rejection {
                limit: LimitName::NotInCatalogue,
                retry_after: self.shared.settings.renew_interval,
            });
        }
        let receiver = {
            let mut pools = self.shared.pools.borrow_mut();
            let pool = pools.entry(organisation.clone()).or_default();
            pool.note_arrival(cost, now());
            let permit = pool.take_at_once(cost, now());
            let receiver = permit.is_none().then(|| pool.wait(cost));
            let is_full = pool.waiting() > self.shared.settings.max_waiting;
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
        let wanted = pool.wanted(self.shared.prefetch(organisation), now());
        if !pool.is_asking && wanted > Tokens(0) {
            pool.is_asking = true;
            let shared = Rc::clone(&self.shared);
            spawn(ask_while_wanted(shared, organisation.clone())).detach();
        }
    }
}

/// Asks the authority until no more tokens are wanted.
async fn ask_while_wanted(shared: Rc<Shared>, organisation: Organisation) {
    while let Some(need) = shared.next_need(&organisation) {
        let own = shared.ask_own(&organisation, need).await;
        let mut pause = shared.settle(&organisation, need, own);
        let missing = need.wanted - own.map_or(Tokens(0), |grant| grant.count);
        if need.is_urgent && missing > Tokens(0) {
            let rest = Need {
                wanted: missing,
                arrived: if own.is_some() {
                    Tokens(0)
                } else {
                    need.arrived
                },
                ..need
            };
            let other = shared.ask_others(&organisation, rest, own.is_none()).await;
            pause = shared.settle(&organisation, rest, other);
        }
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
}

impl Shared {
    /// Returns what to ask for next, or ends the asking if nothing is wanted.
    fn next_need(&self, organisation: &Organisation) -> Option<Need> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(organisation)?;
        let wanted = pool.wanted(self.prefetch(organisation), now());
        if wanted == Tokens(0) {
            pool.is_asking = false;
            return None;
        }
        Some(Need {
            wanted,
            arrived: std::mem::take(&mut pool.arrived),
            is_urgent: pool.waiting() > 0,
        })
    }

    /// Returns the time of demand to fetch in advance, well below the life of the tokens.
    fn prefetch(&self, organisation: &Organisation) -> Duration {
        let limit = (self.fleet.limit_of)(organisation).unwrap_or_default();
        let ttl = limit.token_ttl(self.settings.token_ttl);
        self.settings.prefetch.min(ttl / 2)
    }

    /// Asks the hosts of the own zone in turn until one of them has authority.
    async fn ask_own(&self, organisation: &Organisation, need: Need) -> Option<Grant> {
        let shard = self.settings.shard(organisation);
        let mut hosts = self.ranked(&self.fleet.zone, shard);
        let last = self.owners.borrow().get(&shard).cloned();
        if let Some(place) = hosts.iter().position(|host| Some(host) == last.as_ref()) {
            hosts.swap(0, place);
        }
        for host in hosts {
            if let Some(grant) = self.ask(&host, organisation, need).await {
                self.owners.borrow_mut().insert(shard, host);
                return Some(grant);
            }
        }
        self.owners.borrow_mut().remove(&shard);
        None
    }

    /// Asks other zones for tokens that requests wait for, starting at a random one.
    ///
    /// Their authorities keep the bound as well, with the part of their zone.
    /// One zone is asked in each round, all of them if the own zone has no
    /// authority.
    async fn ask_others(
        &self,
        organisation: &Organisation,
        need: Need,
        is_alone: bool,
    ) -> Option<Grant> {
        let shard = self.settings.shard(organisation);
        let mut zones: Vec<_> = self.fleet.other_zones().collect();
        let count = u64::try_from(zones.len()).unwrap_or(0);
        zones.rotate_left(usize::try_from(random_range(0..count)).unwrap_or(0));
        zones.truncate(if is_alone { zones.len() } else { 1 });
        for zone in zones {
            for host in self.ranked(zone, shard) {
                let grant = self.ask(&host, organisation, need).await;
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

    async fn ask(&self, host: &HostId, organisation: &Organisation, need: Need) -> Option<Grant> {
        let envelope = Envelope {
            from: self.fleet.host.clone(),
            request: Request::Grant {
                organisation: organisation.clone(),
                wanted: need.wanted,
                arrived: need.arrived,
            },
        };
        let sent = now();
        let call = self.link.call(host, envelope);
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

    fn ranked(&self, zone: &Zone, shard: Shard) -> Vec<HostId> {
        let mut hosts = (self.fleet.ranked_hosts)(zone, shard);
        hosts.truncate(CANDIDATES);
        hosts
    }

    /// Adds granted tokens, serves the waiters and returns how long to wait before the next request.
    fn settle(
        &self,
        organisation: &Organisation,
        need: Need,
        grant: Option<Grant>,
    ) -> Option<Duration> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(organisation)?;
        let retry_after = grant.map_or(self.settings.peer_timeout, |grant| grant.retry_after);
        let mut is_enough = false;
        if let Some(grant) = grant {
            pool.add(grant.count, grant.expiry);
            is_enough = grant.count >= need.wanted;
        }
        pool.is_short = !is_enough;
        pool.retry_at = now() + retry_after;
        pool.serve(now());
        if is_enough {
            return None;
        }
        // Hosts that wait for the same bucket must not ask in step.
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
