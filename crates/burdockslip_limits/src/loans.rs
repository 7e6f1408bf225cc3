//! Borrows rate from other zones while the demand of this one exceeds its part.

use std::rc::Rc;

use burdockslip_runtime::{Instant, now, sleep, timeout};
use burdockslip_types::{HostId, Organisation, Zone};
use futures::future::join_all;

use crate::authority::Shared;
use crate::ownership::Owned;
use crate::{Envelope, Rate, Reply, Request};

/// The hosts of another zone that are asked before the zone counts as unreachable.
const CANDIDATES: usize = 2;

/// Takes and renews loans for ever.
pub(crate) async fn keep_loans(shared: Rc<Shared>) {
    loop {
        sleep(shared.settings.loan_interval).await;
        let needy = shared.needy();
        join_all(needy.iter().map(|organisation| shared.borrow(organisation))).await;
    }
}

/// Returns when the last loan of a shard to another zone ends.
pub(crate) fn last_end(owned: &Owned) -> Option<Instant> {
    let accounts = owned.accounts.values();
    accounts
        .filter_map(crate::account::Account::last_loan)
        .max()
}

impl Shared {
    /// Lists the organisations whose zone part does not suffice.
    fn needy(&self) -> Vec<Organisation> {
        let now = now();
        let ahead = self.settings.loan_ttl / 2;
        let mut state = self.state.borrow_mut();
        let owned = state.owned.values_mut().filter(|owned| !owned.is_leaving);
        let accounts = owned.flat_map(|owned| owned.accounts.iter_mut());
        accounts
            .filter_map(|(name, account)| account.needs_loan(now, ahead).then(|| name.clone()))
            .collect()
    }

    /// Asks each other zone for the part of the demand that is still uncovered.
    async fn borrow(&self, organisation: &Organisation) {
        let state = self.with_account(organisation, |account, _| {
            account.note_loans(now() + self.settings.loan_cooldown);
            (account.lacking(now()), account.lenders())
        });
        let Some((mut wanted, lenders)) = state else {
            return;
        };
        let mut zones: Vec<_> = self.fleet.other_zones().cloned().collect();
        zones.sort_by_key(|zone| !lenders.contains(zone));
        for zone in zones {
            // Asking a lender for nothing gives its loan back.
            if wanted > Rate::default() || lenders.contains(&zone) {
                wanted = wanted - self.borrow_from(organisation, &zone, wanted).await;
            }
        }
    }

    async fn borrow_from(&self, organisation: &Organisation, zone: &Zone, rate: Rate) -> Rate {
        let shard = self.settings.shard(organisation);
        let hosts = (self.fleet.ranked_hosts)(zone, shard);
        self.with_account(organisation, |account, _| {
            account.reduce_loan(zone, rate, now());
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
                // An authority that lapsed meanwhile must not use the loan.
                let taken = self.with_account(organisation, |account, _| {
                    account.borrow_from(zone.clone(), rate, sent + ttl, now());
                });
                return taken.map_or(Rate::default(), |()| rate);
            }
        }
        Rate::default()
    }

    /// Sends a request to a host, with the time limit for messages.
    pub(crate) async fn call(&self, host: &HostId, request: Request) -> Option<Reply> {
        let envelope = Envelope {
            from: self.fleet.host.clone(),
            request,
        };
        let call = self.link.call(host, envelope);
        timeout(self.settings.peer_timeout, call).await.ok()?.ok()
    }
}
