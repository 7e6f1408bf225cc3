//! Implements the alternatives that the mechanism is compared with.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep, sleep_until, timeout};
use burdockslip_store::{Compare, Entry, Operation, Store, Txn};
use burdockslip_types::{Organisation, Revision};

use crate::{Bucket, Limit, Permit, Tokens};

/// The batches per second of rate that one grant from the store covers.
const BATCHES: u64 = 20;

/// Admits with a fixed part of rate and burst on each host.
#[derive(Debug, Default)]
pub(super) struct StaticSplit {
    buckets: RefCell<HashMap<Organisation, Bucket>>,
}

impl StaticSplit {
    pub(super) async fn admit(
        &self,
        organisation: &Organisation,
        part: Limit,
        deadline: Instant,
    ) -> Option<Permit> {
        loop {
            let wait = {
                let mut buckets = self.buckets.borrow_mut();
                let bucket = buckets
                    .entry(organisation.clone())
                    .or_insert_with(|| Bucket::new(part.burst, now()));
                bucket.refill(part.rate, Tokens::default(), now());
                if bucket.take(Tokens::ONE) == Tokens::ONE {
                    return Some(Permit {
                        cost: Tokens::ONE,
                        expiry: now() + Duration::from_secs(1),
                    });
                }
                bucket.wait_for(Tokens::ONE, part.rate)
            };
            if now() + wait >= deadline {
                return None;
            }
            sleep(wait.max(Duration::from_millis(1))).await;
        }
    }
}

/// Takes batches from a bucket in the store by compare-and-swap.
///
/// The record holds a time, so this alternative also needs synchronised
/// clocks, which the mechanism does not.
#[derive(Debug)]
pub(super) struct StoreBatches {
    store: Store,
    batches: RefCell<HashMap<Organisation, (Tokens, Instant)>>,
    locks: RefCell<HashMap<Organisation, Rc<futures::lock::Mutex<()>>>>,
}

impl StoreBatches {
    pub(super) fn new(store: Store) -> Self {
        Self {
            store,
            batches: RefCell::default(),
            locks: RefCell::default(),
        }
    }

    pub(super) async fn admit(
        &self,
        organisation: &Organisation,
        limit: Limit,
        deadline: Instant,
    ) -> Option<Permit> {
        let lock = Rc::clone(
            self.locks
                .borrow_mut()
                .entry(organisation.clone())
                .or_default(),
        );
        let guard = timeout(deadline.remaining(), lock.lock()).await.ok()?;
        while !deadline.is_past() {
            if let Some(permit) = self.take(organisation) {
                drop(guard);
                return Some(permit);
            }
            let sent = now();
            let call = timeout(Duration::from_millis(400), self.fetch(organisation, limit));
            if let Ok(Some(count)) = call.await {
                let expiry = sent + limit.token_ttl(Duration::from_secs(1));
                let mut batches = self.batches.borrow_mut();
                batches.insert(organisation.clone(), (count, expiry));
            } else {
                sleep_until((now() + Duration::from_millis(random_range(2..20))).min(deadline))
                    .await;
            }
        }
        None
    }

    fn take(&self, organisation: &Organisation) -> Option<Permit> {
        let mut batches = self.batches.borrow_mut();
        let (count, expiry) = batches.get_mut(organisation)?;
        if *count < Tokens::ONE || expiry.is_past() {
            return None;
        }
        *count = *count - Tokens::ONE;
        Some(Permit {
            cost: Tokens::ONE,
            expiry: *expiry,
        })
    }

    /// Takes one batch; `None` if the swap lost, nothing is left or the store does not answer.
    async fn fetch(&self, organisation: &Organisation, limit: Limit) -> Option<Tokens> {
        let key = format!("burdockslip/buckets/{organisation}");
        let page = self.store.range(&key).await.ok()?;
        let entry = page.entries.first();
        let (level, time) = entry.map_or((Tokens(0), Instant::START), parse);
        let capacity = limit.capacity(limit.token_ttl(Duration::from_secs(1)));
        let level = (level + limit.rate.tokens_in(now().since(time))).min(capacity);
        let batch = Tokens(limit.rate.0 * 1_000_000 / BATCHES)
            .max(Tokens::ONE)
            .min(level)
            .floor();
        if batch == Tokens(0) {
            return None;
        }
        let value = format!("{} {}", (level - batch).0, now().micros());
        let txn = Txn {
            compares: vec![Compare::Revision(
                key.clone(),
                entry.map_or(Revision(0), |entry| entry.revision),
            )],
            operations: vec![Operation::Put(key, value.into_bytes(), None)],
        };
        let reply = self.store.txn(txn).await.ok()?;
        reply.is_applied.then_some(batch)
    }
}

fn parse(entry: &Entry) -> (Tokens, Instant) {
    let text = String::from_utf8_lossy(&entry.value);
    let mut numbers = text.split(' ').map(|part| part.parse().unwrap_or(0));
    let (level, time) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0));
    (Tokens(level), Instant::from_micros(time))
}
