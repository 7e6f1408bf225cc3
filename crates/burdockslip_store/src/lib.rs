//! Reaches the platform's key-value store, the only place where anything lasts.
//!
//! The store counts each call and has outages; see `docs/design.md`,
//! sections 1.4 and 3.3.

mod store;

pub use store::{
    Compare, Entry, Event, LeaseId, Operation, Page, Reply, Request, Store, Txn, TxnReply, Watch,
};
