//! Borrows rate from other zones while the demand of this zone exceeds its part of the rate.

use std::rc::Rc;

use burdockslip_runtime::{Instant, now, sleep, timeout};
use burdockslip_types::{HostId, Organisation, Zone};
use futures::future::join_all;

use crate::authority::Shared;
use crate::ownership::OwnedShard;
use crate::{Envelope, Rate, Reply, Request};

/// The number of hosts of another zone, by rank, that are tried for a loan.
const CANDIDATES: usize = 2;

/// Takes, renews and returns loans, until the task is dropped.
pub(crate) async fn run_loans(shared: Rc<Shared>) {
    loop {
        sleep(shared.settings.loan_interval).await;
        let loan_candidates = shared.loan_candidates();
        join_all(
            loan_candidates
                .iter()
                .map(|organisation| shared.adjust_loans(organisation)),
        )
        .await;
    }
}

/// Returns when the last loan of a shard to another zone ends; `None` without loans.
pub(crate) fn last_loan_end(owned: &OwnedShard) -> Option<Instant> {
    let accounts = owned.accounts.values();
    accounts
        .filter_map(crate::account::Account::last_loan_end)
        .max()
}

impl Shared {
    /// Returns the organisations whose loans from other zones should be taken, renewed or returned.
    fn loan_candidates(&self) -> Vec<Organisation> {
        let now = now();
        let ahead = self.settings.loan_ttl / 2;
        let mut state = self.state.borrow_mut();
        let owned = state.owned.values_mut().filter(|owned| !owned.is_leaving);
        let accounts = owned.flat_map(|owned| owned.accounts.iter_mut());
        accounts
            .filter_map(|(name, account)| {
                account
                    .should_adjust_loans(now, ahead)
                    .then(|| name.clone())
            })
            .collect()
    }

    /// Requests from the other zones, one after the other, the rate that is still missing.
    ///
    /// The zones that lend already are tried first.
    async fn adjust_loans(&self, organisation: &Organisation) {
        let state = self.with_account(organisation, |account, _| {
            account.defer_loans(now() + self.settings.loan_cooldown);
            (account.shortfall(now()), account.lenders())
        });
        let Some((mut wanted, lenders)) = state else {
            return;
        };
        let mut zones: Vec<_> = self.fleet.other_zones().cloned().collect();
        zones.sort_by_key(|zone| !lenders.contains(zone));
        for zone in zones {
            // A request for a rate of zero returns the loan.
            if wanted > Rate::default() || lenders.contains(&zone) {
                wanted = wanted - self.borrow_from(organisation, &zone, wanted).await;
            }
        }
    }

    /// Requests a loan from `zone` and returns the rate borrowed, zero if no host of the zone
    /// lends.
    async fn borrow_from(&self, organisation: &Organisation, zone: &Zone, rate: Rate) -> Rate {
        let shard = self.settings.shard(organisation);
        let hosts = (self.fleet.ranked_hosts)(zone, shard);
        self.with_account(organisation, |account, _| {
            account.cap_loan(zone, rate, now());
        });
        for host in hosts.iter().take(CANDIDATES) {
            let sent = now();
            let request = Request::Borrow {
                organisation: organisation.clone(),
                zone: self.fleet.zone.clone(),
                rate,
                ttl: self.settings.loan_ttl,
                sequence: sent.micros(),
            };
            if let Some(Reply::Lent { rate, ttl }) = self.call(host, request).await {
                // If this host's authority ended meanwhile, it must not use the loan.
                let taken = self.with_account(organisation, |account, _| {
                    account.borrow_from(zone.clone(), rate, sent + ttl, now());
                });
                return taken.map_or(Rate::default(), |()| rate);
            }
        }
        Rate::default()
    }

    /// Sends a request to a host; `None` if it fails or times out.
    pub(crate) async fn call(&self, host: &HostId, request: Request) -> Option<Reply> {
        let envelope = Envelope {
            from: self.fleet.host.clone(),
            request,
        };
        let call = self.peers.call(host, envelope);
        timeout(self.settings.peer_timeout, call).await.ok()?.ok()
    }
}
