//! The calls of the store and the handle that makes them.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{ErrorKind, Result, Revision, domain};
use error_stack::bail;
use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;

domain! {
    /// The identifier of a lease; keys attached to a lease are removed when it ends.
    ///
    /// It carries the era of the store in which the lease was granted, because the store
    /// may give out its number again in another era; see `docs/design/store-era.md`.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct LeaseId(pub i64);

    /// A key with its value and the revision that last changed it.
    pub struct Entry {
        /// The key.
        pub key: String,
        /// The value, at most 1 MB.
        pub value: Vec<u8>,
        /// The revision of the last change.
        pub revision: Revision,
    }

    /// All entries under a prefix and the revision at which they were read.
    pub struct Page {
        /// The store's revision at the read.
        pub revision: Revision,
        /// The entries, ordered by key.
        pub entries: Vec<Entry>,
    }

    /// A condition of a transaction.
    pub enum Compare {
        /// The key was last changed at this revision; zero means that it does not exist.
        Revision(String, Revision),
    }

    /// A change to one key.
    pub enum Operation {
        /// Writes a value, attached to a lease if one is given.
        Put(String, Vec<u8>, Option<LeaseId>),
        /// Removes a key.
        Delete(String),
    }

    /// A transaction: applies all operations if every comparison holds, otherwise none.
    #[derive(Default)]
    pub struct Txn {
        /// The conditions.
        pub compares: Vec<Compare>,
        /// The changes.
        pub operations: Vec<Operation>,
    }

    /// The outcome of a transaction.
    pub struct TxnReply {
        /// Whether the comparisons held and the operations were applied.
        pub is_applied: bool,
        /// The store's revision after the transaction.
        pub revision: Revision,
    }

    /// An event on a watch.
    pub enum Event {
        /// A key has a new value.
        Put(Entry),
        /// A key was removed at a revision.
        Delete(String, Revision),
        /// Nothing else changed up to this revision; shows that the watch is alive.
        Progress(Revision),
    }
}

impl LeaseId {
    /// The bits of the number in an era, as many as an integer has that every JSON reader
    /// represents exactly.
    const NUMBER_BITS: u32 = 53;

    /// Returns the lease with `number` in an era, or `None` if the number is too large.
    pub fn in_era(era: u64, number: u64) -> Option<Self> {
        let era = i64::try_from(era).ok()?;
        let number = i64::try_from(number).ok()?;
        let is_small = number >> Self::NUMBER_BITS == 0 && era >> (63 - Self::NUMBER_BITS) == 0;
        is_small.then_some(Self(era << Self::NUMBER_BITS | number))
    }

    /// Returns the era of the store in which the lease was granted.
    pub const fn era(self) -> u64 {
        self.0.cast_unsigned() >> Self::NUMBER_BITS
    }

    /// Returns the number of the lease in its era.
    pub const fn number(self) -> u64 {
        self.0.cast_unsigned() & ((1 << Self::NUMBER_BITS) - 1)
    }
}

impl Event {
    /// Returns the revision of the change.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete(_, revision) | Self::Progress(revision) => *revision,
        }
    }
}

domain! {
    /// A call to the store that has one reply.
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

    /// The reply to a [`Request`].
    pub enum Reply {
        /// The reply to `Range`.
        Page(Page),
        /// The reply to `Txn`.
        Txn(TxnReply),
        /// The reply to `GrantLease` and `KeepLease`: the lease and its remaining
        /// time to live, zero if the lease is gone.
        Lease(LeaseId, Duration),
        /// The reply to `RevokeLease`.
        Done,
    }
}

/// The stream of changes under a prefix; it ends after the first error.
pub type Watch = LocalBoxStream<'static, Result<Event>>;

type Call = dyn Fn(Request) -> LocalBoxFuture<'static, Result<Reply>>;
type Open = dyn Fn(String, Revision) -> LocalBoxFuture<'static, Result<Watch>>;

/// A handle to the store, over the network or to a fake in memory.
#[derive(Clone)]
pub struct Store {
    call: Rc<Call>,
    open: Rc<Open>,
}

impl Store {
    /// Builds a handle from the functions that make calls and open watches.
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
    /// have been applied nevertheless.
    pub async fn txn(&self, txn: Txn) -> Result<TxnReply> {
        match (self.call)(Request::Txn(txn)).await? {
            Reply::Txn(reply) => Ok(reply),
            _ => bail!(ErrorKind::Protocol),
        }
    }

    /// Grants a lease that expires `ttl` after its last renewal.
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
