//! A client of the platform's key-value store, which holds all durable state.
//!
//! Calls to the store are counted, and the store has outages; see
//! `docs/design.md`, sections 1.4 and 3.3.

use std::time::Duration;

pub mod convert;
pub mod etcd;
mod memory;
mod network;
mod store;
mod stream;
mod watching;
mod within;

pub use memory::{CallCounts, Faults, MemoryStore, StoreCopy};
pub use store::{
    Compare, Entry, Event, LeaseId, Operation, Page, Reply, Request, Store, Txn, TxnReply, Watch,
};
pub use within::with_timeout;

/// The interval between progress notices of a watch without changes.
pub const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
