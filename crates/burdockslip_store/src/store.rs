//! Defines the calls of the store and the handle through which they are made.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{ErrorKind, Result, Revision, domain};
use error_stack::bail;
use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;

domain! {
    /// Identifies a lease; keys attached to it vanish when it ends.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct LeaseId(pub i64);

    /// Holds one key with its value and the revision that last changed it.
    pub struct Entry {
        /// The key.
        pub key: String,
        /// The value, at most 1 MB.
        pub value: Vec<u8>,
        /// The revision of the last change.
        pub revision: Revision,
    }

    /// Holds the entries under a prefix and the revision at which they were read.
    pub struct Page {
        /// The store's revision at the read.
        pub revision: Revision,
        /// The entries, ordered by key.
        pub entries: Vec<Entry>,
    }

    /// States what must hold for a transaction to apply.
    pub enum Compare {
        /// The key was last changed at this revision; zero means that it does not exist.
        Revision(String, Revision),
    }

    /// Changes one key.
    pub enum Operation {
        /// Writes a value, attached to a lease if one is given.
        Put(String, Vec<u8>, Option<LeaseId>),
        /// Removes a key.
        Delete(String),
    }

    /// Applies operations together if all comparisons hold.
    #[derive(Default)]
    pub struct Txn {
        /// The conditions.
        pub compares: Vec<Compare>,
        /// The changes.
        pub operations: Vec<Operation>,
    }

    /// Reports what became of a transaction.
    pub struct TxnReply {
        /// Whether the comparisons held and the operations were applied.
        pub is_applied: bool,
        /// The store's revision after the transaction.
        pub revision: Revision,
    }

    /// Reports one change seen by a watch.
    pub enum Event {
        /// A key has a new value.
        Put(Entry),
        /// A key was removed at a revision.
        Delete(String, Revision),
        /// Nothing changed up to this revision; proof that the watch is alive.
        Progress(Revision),
    }
}

domain! {
    /// Lists the calls of the store that have one reply.
    pub enum Request {
        /// Reads all entries under a prefix.
        Range(String),
        /// Runs a transaction.
        Txn(Txn),
        /// Grants a lease for a time to live.
        GrantLease(Duration),
        /// Renews a lease.
        KeepLease(LeaseId),
        /// Ends a lease.
        RevokeLease(LeaseId),
    }

    /// Lists the replies, one for each request.
    pub enum Reply {
        /// Answers `Range`.
        Page(Page),
        /// Answers `Txn`.
        Txn(TxnReply),
        /// Answers `GrantLease` and `KeepLease`; the remaining time to live, zero if the lease is gone.
        Lease(LeaseId, Duration),
        /// Answers `RevokeLease`.
        Done,
    }
}

/// Yields the changes under a prefix until the watch breaks.
pub type Watch = LocalBoxStream<'static, Result<Event>>;

type Call = dyn Fn(Request) -> LocalBoxFuture<'static, Result<Reply>>;
type Open = dyn Fn(String, Revision) -> LocalBoxFuture<'static, Result<Watch>>;

/// Makes calls to the store, over the network or to a fake in memory.
#[derive(Clone)]
pub struct Store {
    call: Rc<Call>,
    open: Rc<Open>,
}

impl Store {
    /// Builds a store from the functions that carry calls and open watches.
    pub fn new(
        call: impl Fn(Request) -> LocalBoxFuture<'static, Result<Reply>> + 'static,
        open: impl Fn(String, Revision) -> LocalBoxFuture<'static, Result<Watch>> + 'static,
    ) -> Self {
        Self {
            call: Rc::new(call),
            open: Rc::new(open),
        }
    }

    /// Reads all entries whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if there is no answer.
    pub async fn range(&self, prefix: &str) -> Result<Page> {
        match (self.call)(Request::Range(prefix.to_owned())).await? {
            Reply::Page(page) => Ok(page),
            _ => bail!(ErrorKind::Protocol),
        }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if there is no answer; the transaction may
    /// have been applied then.
    pub async fn txn(&self, txn: Txn) -> Result<TxnReply> {
        match (self.call)(Request::Txn(txn)).await? {
            Reply::Txn(reply) => Ok(reply),
            _ => bail!(ErrorKind::Protocol),
        }
    }

    /// Grants a lease that ends `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if there is no answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        match (self.call)(Request::GrantLease(ttl)).await? {
            Reply::Lease(id, _) => Ok(id),
            _ => bail!(ErrorKind::Protocol),
        }
    }

    /// Renews a lease and returns its time to live, zero if it is gone.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if there is no answer.
    pub async fn keep_lease(&self, id: LeaseId) -> Result<Duration> {
        match (self.call)(Request::KeepLease(id)).await? {
            Reply::Lease(_, ttl) => Ok(ttl),
            _ => bail!(ErrorKind::Protocol),
        }
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if there is no answer.
    pub async fn revoke_lease(&self, id: LeaseId) -> Result<()> {
        match (self.call)(Request::RevokeLease(id)).await? {
            Reply::Done => Ok(()),
            _ => bail!(ErrorKind::Protocol),
        }
    }

    /// Watches all keys under `prefix` for changes after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if the watch cannot be opened.
    pub async fn watch(&self, prefix: &str, after: Revision) -> Result<Watch> {
        (self.open)(prefix.to_owned(), after).await
    }
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}
