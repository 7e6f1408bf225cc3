//! A fake store in memory, on the clock of the runtime and with injected faults.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, sleep, spawn};
use burdockslip_types::{ErrorKind, Result, Revision};
use error_stack::{Report, bail};
use futures::channel::oneshot;
use futures::{FutureExt, StreamExt};

use crate::watching::Cursor;
use crate::{
    Compare, Entry, Event, LeaseId, Operation, Page, Reply, Request, Store, Txn, TxnReply,
};

/// How long a call of a disconnected client takes to fail.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The faults injected into calls and watches; none by default.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Fails every call and breaks every watch.
    pub is_down: bool,
    /// Delays every answer; half of it passes before a change takes effect.
    pub delay: Duration,
    /// Answers calls with an error although they took effect.
    pub loses_answers: bool,
}

/// The number of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads.
    pub ranges: u64,
    /// Transactions.
    pub txns: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Opened watches; each counts once, however long it stays open.
    pub watches: u64,
    /// Progress notices of watches, which a client requests over the network.
    pub progress: u64,
}

impl CallCounts {
    /// Returns the sum over all kinds.
    pub fn total(&self) -> u64 {
        self.ranges + self.txns + self.leases + self.watches + self.progress
    }
}

/// A store with keys, leases and revisions as in etcd; clones share the content.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<State>>,
}

/// The content of a store at a moment, from which it can be restored.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: Revision,
    entries: BTreeMap<String, Stored>,
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: u64,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) revision: u64,
    pub(crate) log: Vec<Event>,
    pub(crate) faults: Faults,
    pub(crate) disconnected: BTreeSet<String>,
    pub(crate) calls: CallCounts,
    pub(crate) generation: u64,
    /// The number of watches, in the order of opening, that deliver nothing any more.
    pub(crate) silenced: u64,
    entries: BTreeMap<String, Stored>,
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: u64,
    waiters: Vec<oneshot::Sender<()>>,
}

#[derive(Debug, Clone)]
struct Stored {
    value: Vec<u8>,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

impl MemoryStore {
    /// Builds an empty store at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the handle of a client, which can be [disconnected](Self::disconnect)
    /// by its name.
    pub fn client(&self, name: &str) -> Store {
        let (caller, opener) = (self.clone(), self.clone());
        let (name, watcher) = (name.to_owned(), name.to_owned());
        Store::new(
            move |request| caller.clone().call(name.clone(), request).boxed_local(),
            move |prefix, after| {
                let watch = opener.open(&watcher, prefix, after);
                async move { watch }.boxed_local()
            },
        )
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.borrow_mut().faults = faults;
        self.notify();
    }

    /// Disconnects a client: its calls time out and its watches yield nothing.
    pub fn disconnect(&self, client: &str) {
        self.state
            .borrow_mut()
            .disconnected
            .insert(client.to_owned());
    }

    /// Reconnects a client.
    pub fn reconnect(&self, client: &str) {
        self.state.borrow_mut().disconnected.remove(client);
        self.notify();
    }

    /// Makes all watches that are open now deliver nothing any more, without an error.
    pub fn silence_watches(&self) {
        let mut state = self.state.borrow_mut();
        state.silenced = state.calls.watches;
    }

    /// Breaks all watches that are open now.
    pub fn drop_watches(&self) {
        self.state.borrow_mut().generation += 1;
        self.notify();
    }

    /// Copies the content.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.borrow();
        StoreCopy {
            revision: Revision(state.revision),
            entries: state.entries.clone(),
            leases: state.leases.clone(),
            last_lease: state.last_lease,
        }
    }

    /// Replaces the content with a copy and starts the next era: watches break, and
    /// revisions and leases are given out again from where the copy was taken.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.borrow_mut();
        let era = Revision(state.revision).era() + 1;
        let renew = |revision: Revision| {
            Revision::in_era(era, revision.number()).expect("a store in memory has few changes")
        };
        state.revision = renew(copy.revision).0;
        state.entries.clone_from(&copy.entries);
        for stored in state.entries.values_mut() {
            stored.revision = renew(stored.revision);
        }
        state.leases.clone_from(&copy.leases);
        state.last_lease = copy.last_lease;
        state.log.clear();
        state.generation += 1;
        drop(state);
        self.notify();
    }

    /// Returns the number of calls since the store was built.
    pub fn calls(&self) -> CallCounts {
        self.state.borrow().calls
    }

    /// Writes one key as the platform does; this does not count as a call.
    pub fn put(&self, key: &str, value: &[u8]) -> Revision {
        self.apply_uncounted(Operation::Put(key.to_owned(), value.to_vec(), None))
    }

    /// Removes one key as the platform does; this does not count as a call.
    pub fn delete(&self, key: &str) -> Revision {
        self.apply_uncounted(Operation::Delete(key.to_owned()))
    }

    fn apply_uncounted(&self, operation: Operation) -> Revision {
        let txn = Txn {
            operations: vec![operation],
            ..Txn::default()
        };
        let reply = self.state.borrow_mut().txn(&txn);
        self.notify();
        reply.revision
    }

    /// Runs a call to completion even if the caller drops it, since a request
    /// that was sent over a network is not undone either.
    async fn call(self, client: String, request: Request) -> Result<Reply> {
        let (sender, answer) = oneshot::channel();
        let run = async move {
            // The receiver is gone if the caller gave up.
            let _ = sender.send(self.serve(&client, request).await);
        };
        spawn(run).detach();
        match answer.await {
            Ok(reply) => reply,
            Err(_) => bail!(ErrorKind::StoreUnavailable),
        }
    }

    async fn serve(&self, client: &str, request: Request) -> Result<Reply> {
        if self.state.borrow().disconnected.contains(client) {
            sleep(CALL_TIMEOUT).await;
            bail!(ErrorKind::StoreUnavailable);
        }
        let half = self.state.borrow().faults.delay / 2;
        if !half.is_zero() {
            sleep(half).await;
        }
        let reply = {
            let mut state = self.state.borrow_mut();
            state.calls.count(&request);
            if state.faults.is_down {
                bail!(ErrorKind::StoreUnavailable);
            }
            state.expire();
            state.apply(request)
        };
        self.notify();
        if !half.is_zero() {
            sleep(half).await;
        }
        let is_lost = self.state.borrow().faults.loses_answers;
        if is_lost || self.state.borrow().disconnected.contains(client) {
            bail!(ErrorKind::StoreUnavailable);
        }
        Ok(reply)
    }

    fn open(&self, client: &str, prefix: String, after: Revision) -> Result<crate::Watch> {
        {
            let mut state = self.state.borrow_mut();
            state.calls.watches += 1;
            let is_known = after == Revision(0) || after.era() == state.era();
            if state.faults.is_down || state.disconnected.contains(client) || !is_known {
                bail!(ErrorKind::StoreUnavailable);
            }
        }
        let cursor = Cursor::new(self.clone(), client, prefix, after);
        Ok(futures::stream::unfold(cursor, Cursor::advance).boxed_local())
    }

    pub(crate) fn state(&self) -> &RefCell<State> {
        &self.state
    }

    /// Completes at the next change of the content or the faults.
    pub(crate) fn changed(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.state.borrow_mut().waiters.push(sender);
        receiver
    }

    pub(crate) fn notify(&self) {
        let waiters = std::mem::take(&mut self.state.borrow_mut().waiters);
        for waiter in waiters {
            // The receiver is gone if the watch was dropped.
            let _ = waiter.send(());
        }
    }
}

impl CallCounts {
    fn count(&mut self, request: &Request) {
        match request {
            Request::Range(_) => self.ranges += 1,
            Request::Txn(_) => self.txns += 1,
            Request::GrantLease(_) | Request::KeepLease(_) | Request::RevokeLease(_) => {
                self.leases += 1;
            }
        }
    }
}

impl State {
    fn era(&self) -> u64 {
        Revision(self.revision).era()
    }

    /// Ends the expired leases; returns whether any key was removed.
    pub(crate) fn expire(&mut self) -> bool {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires.is_past())
            .map(|(id, _)| *id)
            .collect();
        let before = self.revision;
        for id in expired {
            self.end_lease(id);
        }
        self.revision != before
    }

    /// Returns when the next lease expires.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires).min()
    }

    fn apply(&mut self, request: Request) -> Reply {
        match request {
            Request::Range(prefix) => Reply::Page(self.range(&prefix)),
            Request::Txn(txn) => Reply::Txn(self.txn(&txn)),
            Request::GrantLease(ttl) => {
                self.last_lease += 1;
                let id = LeaseId::in_era(self.era(), self.last_lease)
                    .expect("a store in memory has few leases");
                let expires = now() + ttl;
                self.leases.insert(id, Lease { ttl, expires });
                Reply::Lease(id, ttl)
            }
            Request::KeepLease(id) => Reply::Lease(id, self.renew_lease(id)),
            Request::RevokeLease(id) => {
                if id.era() == self.era() {
                    self.end_lease(id);
                }
                Reply::Done
            }
        }
    }

    fn range(&self, prefix: &str) -> Page {
        let entries = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| Entry {
                key: key.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
            })
            .collect();
        Page {
            revision: Revision(self.revision),
            entries,
        }
    }

    fn renew_lease(&mut self, id: LeaseId) -> Duration {
        let era = self.era();
        match self.leases.get_mut(&id) {
            Some(lease) if id.era() == era => {
                lease.expires = now() + lease.ttl;
                lease.ttl
            }
            _ => Duration::ZERO,
        }
    }

    fn end_lease(&mut self, id: LeaseId) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let operations = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| Operation::Delete(key.clone()))
            .collect();
        self.txn(&Txn {
            operations,
            ..Txn::default()
        });
    }

    fn txn(&mut self, txn: &Txn) -> TxnReply {
        let era = self.era();
        let has_lease = |operation: &Operation| match operation {
            Operation::Put(_, _, Some(lease)) => lease.era() == era,
            _ => true,
        };
        let are_equal = txn.compares.iter().all(|compare| {
            let Compare::Revision(key, revision) = compare;
            self.entries.get(key).map_or(Revision(0), |s| s.revision) == *revision
        });
        let is_applied = are_equal && txn.operations.iter().all(has_lease);
        if is_applied {
            let next = Revision(self.revision + 1);
            let mut has_changed = false;
            for operation in &txn.operations {
                has_changed |= self.apply_operation(operation, next);
            }
            if has_changed {
                self.revision = next.0;
            }
        }
        TxnReply {
            is_applied,
            revision: Revision(self.revision),
        }
    }

    fn apply_operation(&mut self, operation: &Operation, revision: Revision) -> bool {
        match operation {
            Operation::Put(key, value, lease) => {
                let stored = Stored {
                    value: value.clone(),
                    revision,
                    lease: *lease,
                };
                self.entries.insert(key.clone(), stored);
                self.log.push(Event::Put(Entry {
                    key: key.clone(),
                    value: value.clone(),
                    revision,
                }));
                true
            }
            Operation::Delete(key) => {
                let is_present = self.entries.remove(key).is_some();
                if is_present {
                    self.log.push(Event::Delete(key.clone(), revision));
                }
                is_present
            }
        }
    }
}

impl fmt::Debug for MemoryStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryStore")
            .field("revision", &self.state.borrow().revision)
            .finish_non_exhaustive()
    }
}

/// Returns the error of a broken watch.
pub(crate) fn broken() -> Report<ErrorKind> {
    Report::new(ErrorKind::StoreUnavailable)
}
