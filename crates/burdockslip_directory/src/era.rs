//! What is kept when the store comes back from an older copy.
//!
//! See `docs/design/store-era.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use burdockslip_runtime::{Instant, now};
use burdockslip_store::Entry;
use tracing::warn;

/// The era of the store that a host knows, and the records that it knew before.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    current: Cell<u64>,
    /// When the current era became known; `None` in the first one.
    since: Cell<Option<Instant>>,
    /// The latest era in which the whole store was read.
    loaded: Cell<Option<u64>>,
    /// The latest era in which the whole store was read before the current one.
    loaded_before: Cell<Option<u64>>,
    /// The different values of each record in earlier eras.
    earlier: RefCell<BTreeMap<String, Vec<Entry>>>,
}

impl Eras {
    pub(crate) fn current(&self) -> u64 {
        self.current.get()
    }

    pub(crate) fn since(&self) -> Option<Instant> {
        self.since.get()
    }

    pub(crate) fn loaded_before(&self) -> Option<u64> {
        self.loaded_before.get()
    }

    /// Returns whether the whole store has been read in the current era.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.get() == Some(self.current.get())
    }

    /// Returns whether the whole store has been read in any era.
    pub(crate) fn was_loaded(&self) -> bool {
        self.loaded.get().is_some()
    }

    pub(crate) fn record_loaded(&self) {
        self.loaded.set(Some(self.current.get()));
    }

    /// Starts a newer era; `records` are those that are known from the current one.
    pub(crate) fn enter(&self, era: u64, records: impl Iterator<Item = Entry>) {
        warn!(
            known = self.current.get(),
            era, "store came back from an older copy, reloading it"
        );
        self.current.set(era);
        self.since.set(Some(now()));
        self.loaded_before.set(self.loaded.get());
        let mut earlier = self.earlier.borrow_mut();
        for record in records {
            let values = earlier.entry(record.key.clone()).or_default();
            if values.iter().all(|known| known.value != record.value) {
                values.push(record);
            }
        }
    }

    pub(crate) fn earlier(&self, key: &str) -> Vec<Entry> {
        self.earlier.borrow().get(key).cloned().unwrap_or_default()
    }

    pub(crate) fn forget(&self, key: &str) {
        self.earlier.borrow_mut().remove(key);
    }
}
