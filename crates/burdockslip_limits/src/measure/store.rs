//! An in-memory store for the simulation, with keys, transactions and leases.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_store::{Compare, Entry, LeaseId, Operation, Page, Reply, Request, Txn, TxnReply};
use burdockslip_types::Revision;

/// The entries, each with the lease it is attached to, and the leases.
#[derive(Debug, Default)]
pub(super) struct FakeStore {
    entries: RefCell<BTreeMap<String, (Entry, Option<LeaseId>)>>,
    leases: RefCell<HashMap<LeaseId, (Duration, Instant)>>,
    revision: Cell<u64>,
    pub(super) calls: Cell<u64>,
}

impl FakeStore {
    pub(super) fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Applies a request at the current time.
    pub(super) fn apply(&self, request: Request) -> Reply {
        self.calls.set(self.calls.get() + 1);
        self.expire();
        match request {
            Request::Range(prefix) => Reply::Page(self.range(&prefix)),
            Request::Txn(txn) => Reply::Txn(self.txn(txn)),
            Request::GrantLease(ttl) => {
                let id = LeaseId(i64::try_from(self.next_revision().0).unwrap_or(0));
                self.leases.borrow_mut().insert(id, (ttl, now() + ttl));
                Reply::Lease(id, ttl)
            }
            Request::KeepLease(id) => {
                let mut leases = self.leases.borrow_mut();
                let ttl = leases.get_mut(&id).map(|(ttl, end)| {
                    *end = now() + *ttl;
                    *ttl
                });
                Reply::Lease(id, ttl.unwrap_or_default())
            }
            Request::RevokeLease(id) => {
                self.leases.borrow_mut().remove(&id);
                self.expire();
                Reply::Done
            }
        }
    }

    fn next_revision(&self) -> Revision {
        self.revision.set(self.revision.get() + 1);
        Revision(self.revision.get())
    }

    fn expire(&self) {
        let mut leases = self.leases.borrow_mut();
        leases.retain(|_, (_, end)| *end > now());
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, (_, lease)| lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    fn range(&self, prefix: &str) -> Page {
        let entries = self.entries.borrow();
        let found = entries.iter().filter(|(key, _)| key.starts_with(prefix));
        Page {
            revision: Revision(self.revision.get()),
            entries: found.map(|(_, (entry, _))| entry.clone()).collect(),
        }
    }

    fn txn(&self, txn: Txn) -> TxnReply {
        let revision_of = |key: &str| {
            let entries = self.entries.borrow();
            entries
                .get(key)
                .map_or(Revision(0), |(entry, _)| entry.revision)
        };
        let is_applied = txn
            .compares
            .iter()
            .all(|Compare::Revision(key, revision)| revision_of(key) == *revision);
        if is_applied {
            let revision = self.next_revision();
            for operation in txn.operations {
                self.change(operation, revision);
            }
        }
        TxnReply {
            is_applied,
            revision: Revision(self.revision.get()),
        }
    }

    fn change(&self, operation: Operation, revision: Revision) {
        let mut entries = self.entries.borrow_mut();
        match operation {
            Operation::Put(key, value, lease) => {
                let entry = Entry {
                    key: key.clone(),
                    value,
                    revision,
                };
                entries.insert(key, (entry, lease));
            }
            Operation::Delete(key) => {
                entries.remove(&key);
            }
        }
    }
}
